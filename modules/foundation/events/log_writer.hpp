#ifndef HIBISCUSFERRY_FOUNDATION_EVENTS_LOG_WRITER_HPP
#define HIBISCUSFERRY_FOUNDATION_EVENTS_LOG_WRITER_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace hibiscusferry
{

/** Writes lines to a descriptor without ever blocking the process.

    Lines wait in a bounded buffer and leave with flush(), which writes only
    as much as the descriptor takes at once. When the buffer is full, new
    lines are dropped and counted; a line that says how many takes their place
    as soon as there is room. Used from one thread.
*/
class log_writer
{
public:
    /** @param descriptor  an open descriptor; not closed by the writer
        @param capacity  bytes of lines that may wait */
    log_writer(int descriptor, std::size_t capacity);

    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;

    /** Adds a line, without its line end. */
    void add(std::string line);

    /** Writes what the descriptor takes now. */
    void flush();

    std::uint64_t dropped() const;

    /** Bytes that wait. */
    std::size_t waiting() const;

private:
    bool write_some();
    void announce_drops();

    int descriptor_;
    std::size_t capacity_;
    std::deque<std::string> lines_;
    std::size_t waiting_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t announced_drops_ = 0;
};

} // namespace hibiscusferry

#endif
