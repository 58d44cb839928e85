#include "network_link.hpp"

#include <deque>

namespace review
{

namespace
{

constexpr std::int64_t first_retransmission_ms = 200;

/** Bytes on their way; an empty text is the end of the connection. */
struct bytes_on_way
{
    std::int64_t arrives_at = 0;
    std::string bytes;
};

/** One direction of a connection. */
struct direction
{
    tcp_socket* from = nullptr;
    tcp_socket* to = nullptr;
    std::deque<bytes_on_way> on_way;
    bool has_ended = false;
    bool has_delivered_end = false;

    /** Takes what the sender has written.
        @returns false after a reset */
    bool receive(const cut& cut_off, std::string& received)
    {
        const int count = from->read(received, 0);
        if (count == -2)
            return false;
        if (count == -1)
            return true;
        has_ended = count == 0;
        const std::int64_t earliest =
            on_way.empty() ? 0 : on_way.back().arrives_at;
        on_way.push_back(
            {std::max(cut_off.arrival_of(now_ms()), earliest), received});
        return true;
    }

    /** Delivers what arrives by now.
        @returns false if the receiver does not take it */
    bool deliver()
    {
        while (!on_way.empty() && on_way.front().arrives_at <= now_ms())
        {
            const std::string bytes = on_way.front().bytes;
            on_way.pop_front();
            if (bytes.empty())
            {
                to->shutdown_write();
                has_delivered_end = true;
            }
            else if (!to->write(bytes))
                return false;
        }
        return true;
    }
};

} // namespace

void cut::begin(std::int64_t duration_ms)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    begin_ = now_ms();
    end_ = *begin_ + duration_ms;
}

std::optional<std::int64_t> cut::begun_at() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return begin_;
}

std::int64_t cut::end() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return end_;
}

bool cut::is_active() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return begin_ && now_ms() < end_;
}

std::int64_t cut::arrival_of(std::int64_t sent_at) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!begin_ || sent_at < *begin_ || sent_at >= end_)
        return sent_at;
    std::int64_t arrival = sent_at;
    std::int64_t timeout = first_retransmission_ms;
    while (arrival < end_)
    {
        arrival += timeout;
        timeout *= 2;
    }
    return arrival;
}

network_link::network_link(const std::string& ip, const address& to,
                           const std::vector<linked_host>& hosts,
                           observer observe)
    : to_(to)
    , hosts_(hosts)
    , observe_(std::move(observe))
    , listener_({ip, 0}, [this](tcp_socket near) { relay(std::move(near)); })
{
}

const address& network_link::at() const
{
    return listener_.at();
}

linked_host network_link::owner_of(const tcp_socket& near) const
{
    if (hosts_.size() == 1)
        return hosts_.front();
    for (const linked_host& host : hosts_)
    {
        if (host.process->has_connection(near.peer_port(), at().port))
            return host;
    }
    // Another stand-in, for example.
    return {};
}

void network_link::relay(tcp_socket near)
{
    const linked_host owner = owner_of(near);
    const cut& cut_off = *owner.cut_off;
    if (cut_off.is_active())
    {
        // Its first packet is lost. The host sees a connection without an
        // answer, since a listener cannot leave a connection unaccepted.
        std::string lost;
        while (cut_off.is_active())
        {
            near.read(lost, 20);
            sleep_ms(5);
        }
        near.reset();
        return;
    }
    tcp_socket far = tcp_socket::connect(to_);
    if (!far.is_open())
        return near.reset();
    direction forth{&near, &far, {}, false, false};
    direction back{&far, &near, {}, false, false};
    while (!forth.has_delivered_end || !back.has_delivered_end)
    {
        std::string sent;
        std::string answered;
        const bool was_reset_near =
            !forth.has_ended && !forth.receive(cut_off, sent);
        if (was_reset_near)
        {
            // What is on its way is lost with the connection.
            if (cut_off.is_active())
                sleep_ms(cut_off.end() - now_ms());
            return far.reset();
        }
        if (!sent.empty() && observe_ && owner.process != nullptr)
        {
            const bool was_cut = cut_off.begun_at().has_value();
            observe_(owner, sent);
            if (!was_cut && cut_off.begun_at())
                forth.on_way.back().arrives_at =
                    cut_off.arrival_of(*cut_off.begun_at());
        }
        if (!back.has_ended && !back.receive(cut_off, answered))
        {
            if (cut_off.is_active())
                sleep_ms(cut_off.end() - now_ms());
            return near.reset();
        }
        if (!forth.deliver() || !back.deliver())
            return;
        const bool is_idle = sent.empty() && answered.empty();
        if (is_idle)
            std::this_thread::sleep_for(std::chrono::microseconds(500));
    }
}

} // namespace review
