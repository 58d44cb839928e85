#ifndef HIBISCUSFERRY_FOUNDATION_EVENTS_LOG_WRITER_HPP
#define HIBISCUSFERRY_FOUNDATION_EVENTS_LOG_WRITER_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace hibiscusferry
{

/** Writes log lines to a file descriptor without blocking the process.

    Lines are stored in a bounded buffer. flush() writes only as much as the
    descriptor accepts without blocking. When the buffer is full, new lines are
    dropped and counted; a line with the number of dropped lines is added once
    at most half of the buffer is in use. Not thread-safe.
*/
class log_writer
{
public:
    /** @param descriptor  an open file descriptor; the writer does not close it
        @param capacity    the size of the buffer, in bytes
    */
    log_writer(int descriptor, std::size_t capacity);

    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;

    /** Adds a line to the buffer. `line` has no line terminator. */
    void add(std::string line);

    /** Writes as much of the buffer as the descriptor accepts without
        blocking. */
    void flush();

    /** Returns the number of lines dropped so far. */
    std::uint64_t dropped() const;

    /** Returns the number of bytes in the buffer. */
    std::size_t pending_bytes() const;

private:
    bool write_some();
    void report_dropped_lines();

    int descriptor_;
    std::size_t capacity_;
    std::deque<std::string> lines_;
    std::size_t pending_bytes_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_drops_ = 0;
};

} // namespace hibiscusferry

#endif
