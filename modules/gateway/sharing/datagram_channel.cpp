#include "gateway/sharing/datagram_channel.hpp"

#include <algorithm>
#include <array>

namespace hibiscusferry
{

namespace
{

constexpr std::size_t max_datagram_bytes = 4096;
/** Pause after an error of the socket, which may persist. */
constexpr std::chrono::milliseconds receive_error_pause{25};

} // namespace

boost::asio::ip::udp::endpoint datagram_endpoint(const std::string& address,
                                                 std::uint16_t port)
{
    boost::system::error_code ignored;
    return {boost::asio::ip::make_address(address, ignored), port};
}

datagram_channel::datagram_channel(
    process_core& core, const boost::asio::ip::udp::endpoint& endpoint)
    : core_(core)
    , endpoint_(endpoint)
    , socket_(core.context())
{
}

void datagram_channel::add_receiver(receiver receive)
{
    receivers_.push_back(std::move(receive));
}

result<void> datagram_channel::start()
{
    boost::system::error_code error;
    socket_.open(endpoint_.protocol(), error);
    if (!error)
        socket_.bind(endpoint_, error);
    // A full send buffer must not block the process.
    if (!error)
        socket_.non_blocking(true, error);
    if (!error)
        endpoint_ = socket_.local_endpoint(error);
    if (error)
    {
        core_.report_unavailable("peer datagrams",
                                 endpoint_.address().to_string() + ":" +
                                     std::to_string(endpoint_.port()),
                                 error);
        boost::system::error_code ignored;
        socket_.close(ignored);
        return std::error_code(error);
    }
    start_task(core_.context(), [this](boost::asio::yield_context yield)
               { receive_loop(yield); });
    return outcome::success();
}

void datagram_channel::stop()
{
    is_stopping_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void datagram_channel::send(const std::string& bytes,
                            const boost::asio::ip::udp::endpoint& to)
{
    boost::system::error_code error;
    socket_.send_to(boost::asio::buffer(bytes), to, 0, error);
    if (error)
        core_.metrics()
            .counter_of("hibiscusferry_sharing_send_failures_total")
            .add();
}

const boost::asio::ip::udp::endpoint& datagram_channel::endpoint() const
{
    return endpoint_;
}

void datagram_channel::receive_loop(boost::asio::yield_context yield)
{
    std::array<char, max_datagram_bytes> buffer;
    while (!is_stopping_)
    {
        boost::asio::ip::udp::endpoint sender;
        boost::system::error_code error;
        const std::size_t size = socket_.async_receive_from(
            boost::asio::buffer(buffer), sender, yield[error]);
        if (error)
        {
            // A host whose process has just ended causes an ICMP error.
            if (!is_stopping_)
                sleep_for(core_.context(), receive_error_pause, yield);
            continue;
        }
        const std::string_view bytes(buffer.data(), size);
        const bool is_processed = std::any_of(
            receivers_.begin(), receivers_.end(),
            [&](const receiver& receive) { return receive(bytes, sender); });
        if (!is_processed)
            core_.metrics()
                .counter_of("hibiscusferry_sharing_unreadable_total")
                .add();
    }
}

} // namespace hibiscusferry
