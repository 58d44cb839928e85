#ifndef HIBISCUSFERRY_EXTRAS_SOAK_RESPONSE_READER_HPP
#define HIBISCUSFERRY_EXTRAS_SOAK_RESPONSE_READER_HPP

#include "wire.hpp"
#include <optional>
#include <string>

namespace hibiscusferry::soak
{

/** Reads the responses on a caller's connection piece by piece, so that what
    arrived before a break is known. */
class response_reader
{
public:
    enum class progress
    {
        data,
        complete,
        broken,
        timed_out
    };

    explicit response_reader(review::connection& peer);

    /** Accepts no more than a correct server sends: see problem().
        @returns none if the connection ended, the time is over or the head is
                 invalid */
    std::optional<review::message_head>
    read_head(review::steady_clock::time_point deadline);
    /** Appends the next bytes of the body of the last head to `body`. */
    progress read_some(std::string& body,
                       review::steady_clock::time_point deadline);
    /** Whether the connection was closed or reset, rather than silent. */
    bool is_ended() const;
    /** What is wrong with the bytes received; empty if nothing is. */
    const std::string& problem() const;

private:
    enum class framing
    {
        length,
        chunked,
        unframed
    };

    bool fill(review::steady_clock::time_point deadline);
    progress failure() const;
    progress read_chunk(std::string& body,
                        review::steady_clock::time_point deadline);

    review::connection& peer_;
    std::string buffer_;
    framing framing_ = framing::length;
    std::size_t remaining_ = 0;
    bool is_within_chunk_ = false;
    bool is_ended_ = false;
    bool is_reset_ = false;
    std::string problem_;
};

} // namespace hibiscusferry::soak

#endif
