#include "client_limits/client_crowd.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace hibiscusferry::client_limits
{

namespace
{

constexpr std::chrono::milliseconds observation_period{20};

int open_connection(const std::string& address, std::uint16_t port)
{
    const int descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in remote{};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(port);
    int ignored = ::inet_pton(AF_INET, address.c_str(), &remote.sin_addr);
    // The connection is established while the client waits to write.
    ignored = ::connect(descriptor, reinterpret_cast<const sockaddr*>(&remote),
                        sizeof remote);
    static_cast<void>(ignored);
    return descriptor;
}

} // namespace

client_crowd::client_crowd(const std::string& address, std::uint16_t port,
                           const std::vector<client_plan>& plans)
{
    for (const client_plan& plan : plans)
    {
        client added;
        added.plan = plan;
        while (!plan.body_unit.empty() &&
               added.repeated_unit.size() <
                   plan.write_bytes + plan.body_unit.size())
            added.repeated_unit += plan.body_unit;
        added.descriptor = open_connection(address, port);
        clients_.push_back(std::move(added));
    }
}

client_crowd::~client_crowd()
{
    for (const client& open : clients_)
        ::close(open.descriptor);
}

void client_crowd::advance(client& sender, clock::time_point now)
{
    const std::size_t head_bytes = sender.plan.head.size();
    const std::size_t total = head_bytes + sender.plan.body_bytes;
    std::string_view next;
    if (sender.sent < head_bytes)
        next = std::string_view(sender.plan.head).substr(sender.sent);
    else
        next = std::string_view(sender.repeated_unit)
                   .substr((sender.sent - head_bytes) %
                           sender.plan.body_unit.size());
    next =
        next.substr(0, std::min(sender.plan.write_bytes, total - sender.sent));
    const ssize_t count = ::send(sender.descriptor, next.data(), next.size(),
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (count > 0)
        sender.sent += static_cast<std::size_t>(count);
    sender.next_write = now + sender.plan.pause;
    // The connection stays open when the server has closed its side.
    sender.is_finished = count < 0 || sender.sent >= total;
}

void client_crowd::play(std::chrono::milliseconds duration,
                        const std::function<void()>& observe)
{
    const clock::time_point end = clock::now() + duration;
    clock::time_point next_observation = clock::now();
    bool has_finished = false;
    while (!has_finished && clock::now() < end)
    {
        const clock::time_point now = clock::now();
        if (now >= next_observation)
        {
            observe();
            next_observation = now + observation_period;
        }
        std::vector<pollfd> waiting;
        std::vector<client*> senders;
        has_finished = true;
        for (client& sender : clients_)
        {
            has_finished = has_finished && sender.is_finished;
            if (sender.is_finished || sender.next_write > now)
                continue;
            waiting.push_back({sender.descriptor, POLLOUT, 0});
            senders.push_back(&sender);
        }
        ::poll(waiting.data(), waiting.size(), 1);
        for (std::size_t index = 0; index < waiting.size(); ++index)
        {
            if (waiting[index].revents != 0)
                advance(*senders[index], now);
        }
    }
    observe();
}

} // namespace hibiscusferry::client_limits
