#ifndef HIBISCUSFERRY_REVIEW_SUPPORT_2_NETWORK_LINK_HPP
#define HIBISCUSFERRY_REVIEW_SUPPORT_2_NETWORK_LINK_HPP

#include "host_process.hpp"
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace review
{

/** When a host is cut off. Bytes that are sent meanwhile arrive when TCP sends
    them again after the cut, unless their sender has reset the connection. */
class cut
{
public:
    void begin(std::int64_t duration_ms);
    std::optional<std::int64_t> begun_at() const;
    std::int64_t end() const;
    bool is_active() const;

    /** When bytes arrive that were sent at a time: at once, or with the first
        of the retransmissions of Linux (after 0.2, 0.6, 1.4 s and so on) that
        comes after the cut. */
    std::int64_t arrival_of(std::int64_t sent_at) const;

private:
    mutable std::mutex mutex_;
    std::optional<std::int64_t> begin_;
    std::int64_t end_ = 0;
};

/** A host as the links see it. */
struct linked_host
{
    host_process* process = nullptr;
    std::shared_ptr<cut> cut_off = std::make_shared<cut>();
};

/** A relay of TCP connections to an address. It delays what is sent while the
    host at the near end is cut off. */
class network_link
{
public:
    /** Sees the bytes of a host before they are passed on. */
    using observer =
        std::function<void(const linked_host&, const std::string&)>;

    /** @param hosts  the hosts that may connect; a single one is not searched
     */
    network_link(const std::string& ip, const address& to,
                 const std::vector<linked_host>& hosts, observer observe = {});

    /** The address at which the relay listens. */
    const address& at() const;

private:
    void relay(tcp_socket near);
    linked_host owner_of(const tcp_socket& near) const;

    address to_;
    std::vector<linked_host> hosts_;
    observer observe_;
    listener listener_;
};

} // namespace review

#endif
