#include "foundation/events/log_writer.hpp"

#include <climits>
#include <poll.h>
#include <unistd.h>

namespace hibiscusferry
{

log_writer::log_writer(int descriptor, std::size_t capacity)
    : descriptor_(descriptor)
    , capacity_(capacity)
{
}

void log_writer::add(std::string line)
{
    line += '\n';
    if (pending_bytes_ + line.size() > capacity_)
    {
        ++dropped_;
        return;
    }
    pending_bytes_ += line.size();
    lines_.push_back(std::move(line));
}

void log_writer::flush()
{
    while (!lines_.empty() && write_some())
    {
    }
    report_dropped_lines();
}

bool log_writer::write_some()
{
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
    pollfd ready{descriptor_, POLLOUT, 0};
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
        return false;

    std::string batch;
    while (!lines_.empty() &&
           (batch.empty() || batch.size() + lines_.front().size() <= PIPE_BUF))
    {
        batch += lines_.front();
        lines_.pop_front();
        if (batch.size() >= PIPE_BUF)
            break;
    }
    const std::string remainder =
        batch.size() > PIPE_BUF ? batch.substr(PIPE_BUF) : std::string();
    batch.resize(batch.size() - remainder.size());

    const ssize_t written = ::write(descriptor_, batch.data(), batch.size());
    const std::size_t written_bytes =
        written > 0 ? static_cast<std::size_t>(written) : 0;
    pending_bytes_ -= written_bytes;
    if (written_bytes < batch.size() || !remainder.empty())
        lines_.push_front(batch.substr(written_bytes) + remainder);
    return written_bytes == batch.size();
}

void log_writer::report_dropped_lines()
{
    if (dropped_ == reported_drops_ || pending_bytes_ > capacity_ / 2)
        return;
    const std::uint64_t count = dropped_ - reported_drops_;
    reported_drops_ = dropped_;
    add(R"({"event":"log_lines_dropped","count":")" + std::to_string(count) +
        "\"}");
}

std::uint64_t log_writer::dropped() const
{
    return dropped_;
}

std::size_t log_writer::pending_bytes() const
{
    return pending_bytes_;
}

} // namespace hibiscusferry
