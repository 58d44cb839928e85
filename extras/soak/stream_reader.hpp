#ifndef HIBISCUSFERRY_EXTRAS_SOAK_STREAM_READER_HPP
#define HIBISCUSFERRY_EXTRAS_SOAK_STREAM_READER_HPP

#include <set>
#include <string>

namespace hibiscusferry::soak
{

/** What a caller has received of one stream, over all requests for it.

    Judges the order of the events: ids without gap or repetition, one software
    version, and no event of a run after those of a later run.
*/
class stream_reader
{
public:
    /** @param is_resumable  whether several runs may contribute events */
    stream_reader(int events, bool is_resumable);

    /** Reads the body of the next response from its start. */
    void begin_response();
    /** Adds bytes of the body.
        @returns what is wrong; empty if nothing is */
    std::string add(const std::string& bytes);
    /** The response ended as complete.
        @returns what is wrong; empty if nothing is */
    std::string end() const;

    /** The number of events of the whole stream. */
    int events() const;
    int last_event() const;
    bool is_whole() const;

private:
    std::string add_event(const std::string& event);

    int events_;
    bool is_resumable_;
    int last_event_ = 0;
    std::string pending_;
    std::string version_;
    std::string run_;
    std::set<std::string> earlier_runs_;
};

} // namespace hibiscusferry::soak

#endif
