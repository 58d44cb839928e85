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
    if (waiting_ + line.size() > capacity_)
    {
        ++dropped_;
        return;
    }
    waiting_ += line.size();
    lines_.push_back(std::move(line));
}

void log_writer::flush()
{
    while (!lines_.empty() && write_some())
    {
    }
    announce_drops();
}

bool log_writer::write_some()
{
    // A pipe that is ready takes PIPE_BUF bytes without blocking.
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
    const std::string rest =
        batch.size() > PIPE_BUF ? batch.substr(PIPE_BUF) : std::string();
    batch.resize(batch.size() - rest.size());

    const ssize_t written = ::write(descriptor_, batch.data(), batch.size());
    const std::size_t done =
        written > 0 ? static_cast<std::size_t>(written) : 0;
    waiting_ -= done;
    if (done < batch.size() || !rest.empty())
        lines_.push_front(batch.substr(done) + rest);
    return done == batch.size();
}

void log_writer::announce_drops()
{
    if (dropped_ == announced_drops_ || waiting_ > capacity_ / 2)
        return;
    const std::uint64_t count = dropped_ - announced_drops_;
    announced_drops_ = dropped_;
    add(R"({"event":"log_lines_dropped","count":")" + std::to_string(count) +
        "\"}");
}

std::uint64_t log_writer::dropped() const
{
    return dropped_;
}

std::size_t log_writer::waiting() const
{
    return waiting_;
}

} // namespace hibiscusferry
