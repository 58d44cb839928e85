#include "peers/peers.hpp"

#include "peers/authentication/peer_handshake.hpp"
#include "peers/message/peer_envelope.hpp"
#include "peers/transport/websocket_endpoint.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;
using boost::asio::ip::tcp;

namespace
{

const std::string peer_key = "0123456789abcdef";
const peer_endpoint unreachable_endpoint{"127.0.0.1", 1};
const std::string text_payload = "\x65hello";
constexpr std::chrono::seconds wait_timeout{10};

peer_settings settings_for(const std::string& id)
{
    peer_settings settings;
    settings.self.id = id;
    settings.self.incarnation = 3;
    settings.listen = peer_endpoint{"127.0.0.1", 0};
    settings.shared_key = peer_key;
    settings.probe_delay = std::chrono::milliseconds(60);
    settings.probe_timeout = std::chrono::milliseconds(60);
    settings.initial_retry_delay = std::chrono::milliseconds(20);
    return settings;
}

/** A process with a transport that records the messages it receives. */
struct test_process
{
    test_process(boost::asio::io_context& context,
                 const peer_settings& settings)
        : transport(std::move(
              peer_transport::create(context, clock, journal, settings)
                  .value()))
    {
        transport->on_message("text", [this](const received_peer_message& item)
                              { received.push_back(item); });
        transport->start().value();
    }

    peer_endpoint endpoint() const
    {
        return transport->self().endpoint;
    }

    std::size_t count(event_number number) const
    {
        std::size_t total = 0;
        for (const event& item : journal.events())
            total += item.number == number ? 1 : 0;
        return total;
    }

    machine_clock clock;
    event_journal journal{clock, 1000};
    std::vector<received_peer_message> received;
    std::unique_ptr<peer_transport> transport;
};

bool run_until(boost::asio::io_context& context,
               const std::function<bool()>& condition)
{
    const time_point deadline = boot_clock::now() + wait_timeout;
    while (!condition() && boot_clock::now() < deadline)
        context.run_one_for(std::chrono::milliseconds(50));
    return condition();
}

peer_message text_message()
{
    return {"text", text_payload};
}

/** A client that performs the handshake and then sends arbitrary frames. */
class rogue_client
{
public:
    rogue_client(boost::asio::io_context& context,
                 const peer_endpoint& endpoint, const std::string& key)
        : handshake_(
              peer_handshake::opener({"rogue", 1, {}}, key, random_bytes(32)))
        , sockets_(context,
                   {[this](connection_number number, bool)
                    { sockets_.send(number, handshake_.hello()); },
                    [this](connection_number number, const std::string& frame)
                    { respond(number, frame); },
                    [](connection_number) {},
                    [this](connection_number)
                    {
                        is_closed_ = true;
                    }},
                   wait_timeout, 10)
        , number_(sockets_.open(endpoint))
    {
    }

    void send(const std::string& frame)
    {
        sockets_.send(number_, frame);
    }

    bool is_authenticated() const
    {
        return handshake_.is_authenticated();
    }

    bool is_closed() const
    {
        return is_closed_;
    }

    unsigned frames() const
    {
        return frames_;
    }

private:
    void respond(connection_number number, const std::string& frame)
    {
        ++frames_;
        const result<std::string> reply = handshake_.receive(frame);
        if (reply)
            sockets_.send(number, reply.value());
    }

    peer_handshake handshake_;
    bool is_closed_ = false;
    unsigned frames_ = 0;
    websocket_endpoint sockets_;
    connection_number number_;
};

/** A TCP proxy that can stop forwarding on its open connections. */
class tcp_proxy
{
public:
    tcp_proxy(boost::asio::io_context& context, const peer_endpoint& target)
        : context_(context)
        , target_(boost::asio::ip::make_address(target.address), target.port)
        , acceptor_(context, tcp::endpoint(tcp::v4(), 0))
        , endpoint_{"127.0.0.1", acceptor_.local_endpoint().port()}
    {
        accept();
    }

    peer_endpoint endpoint() const
    {
        return endpoint_;
    }

    void stall_open_connections()
    {
        ++stalled_below_;
        generation_ = stalled_below_;
    }

    void stop_accepting()
    {
        acceptor_.close();
    }

    unsigned accepted() const
    {
        return accepted_;
    }

private:
    struct proxied_connection
    {
        explicit proxied_connection(boost::asio::io_context& context)
            : from(context)
            , to(context)
        {
        }

        tcp::socket from;
        tcp::socket to;
        unsigned generation = 0;
        std::array<char, 4096> to_target{};
        std::array<char, 4096> to_client{};
    };

    void accept()
    {
        const std::shared_ptr<proxied_connection> next =
            std::make_shared<proxied_connection>(context_);
        acceptor_.async_accept(
            next->from,
            [this, next](const boost::system::error_code& error)
            {
                if (error)
                    return;
                ++accepted_;
                next->generation = generation_;
                next->to.connect(target_);
                relay(next, next->from, next->to, next->to_target);
                relay(next, next->to, next->from, next->to_client);
                accept();
            });
    }

    void relay(const std::shared_ptr<proxied_connection>& route,
               tcp::socket& from, tcp::socket& to,
               std::array<char, 4096>& buffer)
    {
        from.async_read_some(
            boost::asio::buffer(buffer),
            [this, route, &from, &to,
             &buffer](const boost::system::error_code& error, std::size_t count)
            {
                boost::system::error_code ignored;
                if (route->generation < stalled_below_)
                    return;
                if (error)
                {
                    to.close(ignored);
                    return;
                }
                boost::asio::write(to, boost::asio::buffer(buffer, count),
                                   ignored);
                relay(route, from, to, buffer);
            });
    }

    boost::asio::io_context& context_;
    tcp::endpoint target_;
    tcp::acceptor acceptor_;
    peer_endpoint endpoint_;
    unsigned generation_ = 0;
    unsigned stalled_below_ = 0;
    unsigned accepted_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(peer_transport_test)

BOOST_AUTO_TEST_CASE(two_processes_exchange_messages_over_one_connection)
{
    boost::asio::io_context context;
    test_process alpha(context, settings_for("alpha"));
    test_process beta(context, settings_for("beta"));
    alpha.transport->send(beta.endpoint(), text_message()).value();
    BOOST_TEST_REQUIRE(
        run_until(context, [&] { return beta.received.size() == 1; }));
    BOOST_TEST(beta.received[0].sender.id == "alpha");
    BOOST_TEST(beta.received[0].sender.incarnation == 3U);
    BOOST_TEST(beta.received[0].message.payload == text_payload);

    // Responses by id and by endpoint use the same connection.
    beta.transport->send_to("alpha", text_message()).value();
    beta.transport->send(alpha.endpoint(), text_message()).value();
    BOOST_TEST(run_until(context, [&] { return alpha.received.size() == 2; }));
    BOOST_TEST(alpha.transport->connected_peers().size() == 1U);
    BOOST_TEST(beta.count(event_number::peer_connected) == 1U);
    BOOST_TEST(alpha.transport->bytes_sent() ==
               beta.transport->bytes_received());
    BOOST_TEST(alpha.transport->send_to("nobody", text_message()).error() ==
               peers_error::unknown_peer);
}

BOOST_AUTO_TEST_CASE(a_process_with_a_different_key_is_rejected)
{
    boost::asio::io_context context;
    test_process alpha(context, settings_for("alpha"));
    peer_settings wrong_key_settings = settings_for("stranger");
    wrong_key_settings.shared_key = "0123456789abcdeF";
    test_process wrong_key_process(context, wrong_key_settings);
    // Authentication fails regardless of which side opens the connection.
    wrong_key_process.transport->send(alpha.endpoint(), text_message()).value();
    BOOST_TEST(run_until(context,
                         [&] {
                             return wrong_key_process.count(
                                        event_number::peer_not_proven) > 0;
                         }));
    alpha.transport->send(wrong_key_process.endpoint(), text_message()).value();
    BOOST_TEST(
        run_until(context, [&]
                  { return alpha.count(event_number::peer_not_proven) > 0; }));
    BOOST_TEST(alpha.transport->connected_peers().empty());
    BOOST_TEST(wrong_key_process.transport->connected_peers().empty());
    BOOST_TEST(alpha.received.size() + wrong_key_process.received.size() == 0U);
}

BOOST_AUTO_TEST_CASE(an_invalid_frame_closes_only_its_connection)
{
    const std::string deeply_nested(60U << 10, '\x81');
    const std::string oversized(max_frame_bytes + 1, '\x01');
    const std::string forged =
        encode_envelope({"beta", 3, {1, 0}, {"text", text_payload}});
    for (const std::string& frame : {std::string("garbage"), std::string(),
                                     deeply_nested, oversized, forged})
    {
        boost::asio::io_context context;
        test_process alpha(context, settings_for("alpha"));
        test_process beta(context, settings_for("beta"));
        beta.transport->send(alpha.endpoint(), text_message()).value();
        rogue_client rogue(context, alpha.endpoint(), peer_key);
        BOOST_TEST(run_until(
            context,
            [&] { return alpha.transport->connected_peers().size() == 2; }));
        rogue.send(frame);
        BOOST_TEST(run_until(context, [&] { return rogue.is_closed(); }));
        BOOST_TEST(alpha.received.size() == 1U);

        alpha.transport->send_to("beta", text_message()).value();
        BOOST_TEST(
            run_until(context, [&] { return beta.received.size() == 1; }));
        BOOST_TEST(alpha.transport->connected_peers().size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(a_message_before_authentication_is_rejected)
{
    boost::asio::io_context context;
    test_process alpha(context, settings_for("alpha"));
    rogue_client rogue(context, alpha.endpoint(), "another key of 16");
    BOOST_TEST(run_until(context, [&] { return rogue.frames() == 1; }));
    rogue.send(encode_envelope({"rogue", 1, {1, 0}, {"text", text_payload}}));
    BOOST_TEST(run_until(context, [&] { return rogue.is_closed(); }));
    BOOST_TEST(!rogue.is_authenticated());
    BOOST_TEST(alpha.received.empty());
}

BOOST_AUTO_TEST_CASE(the_sender_rejects_oversized_and_malformed_messages)
{
    boost::asio::io_context context;
    test_process alpha(context, settings_for("alpha"));
    const std::string large(max_frame_bytes, 'x');
    std::string payload("\x7a\x00\x01\x00\x00", 5);
    payload += large;
    BOOST_TEST(alpha.transport->send(unreachable_endpoint, {"text", payload})
                   .error() == peers_error::too_large);
    BOOST_TEST(
        alpha.transport->send(unreachable_endpoint, {"text", "\xff"}).error() ==
        peers_error::malformed);
}

BOOST_AUTO_TEST_CASE(an_unresponsive_connection_is_replaced)
{
    boost::asio::io_context context;
    test_process alpha(context, settings_for("alpha"));
    test_process beta(context, settings_for("beta"));
    tcp_proxy proxy(context, beta.endpoint());
    alpha.transport->maintain(proxy.endpoint());
    BOOST_TEST(run_until(
        context, [&] { return !alpha.transport->connected_peers().empty(); }));

    proxy.stall_open_connections();
    BOOST_TEST(run_until(context,
                         [&]
                         {
                             const std::vector<connected_peer> peers =
                                 alpha.transport->connected_peers();
                             return proxy.accepted() == 2 &&
                                    peers.size() == 1 && !peers[0].is_suspect;
                         }));
    BOOST_TEST(alpha.count(event_number::peer_suspect) == 1U);
    alpha.transport->send(proxy.endpoint(), text_message()).value();
    BOOST_TEST(run_until(context, [&] { return beta.received.size() == 1; }));
}

BOOST_AUTO_TEST_CASE(a_peer_unresponsive_on_all_connections_is_disconnected)
{
    boost::asio::io_context context;
    test_process alpha(context, settings_for("alpha"));
    test_process beta(context, settings_for("beta"));
    tcp_proxy proxy(context, beta.endpoint());
    alpha.transport->send(proxy.endpoint(), text_message()).value();
    BOOST_TEST(run_until(context, [&] { return beta.received.size() == 1; }));

    proxy.stall_open_connections();
    proxy.stop_accepting();
    alpha.transport->send(proxy.endpoint(), text_message()).value();
    BOOST_TEST(run_until(
        context, [&] { return alpha.transport->connected_peers().empty(); }));
    BOOST_TEST(alpha.count(event_number::peer_disconnected) == 1U);
}

BOOST_AUTO_TEST_CASE(a_maintained_peer_is_reconnected_after_its_restart)
{
    boost::asio::io_context context;
    test_process alpha(context, settings_for("alpha"));
    peer_settings settings = settings_for("beta");
    std::unique_ptr<test_process> beta =
        std::make_unique<test_process>(context, settings);
    settings.listen = beta->endpoint();
    alpha.transport->maintain(beta->endpoint());
    const auto is_connected_to = [&](std::uint64_t incarnation)
    {
        const std::vector<connected_peer> peers =
            alpha.transport->connected_peers();
        return peers.size() == 1 &&
               peers[0].identity.incarnation == incarnation;
    };
    BOOST_TEST(run_until(context, [&] { return is_connected_to(3); }));

    beta->transport->stop();
    BOOST_TEST(run_until(
        context, [&] { return alpha.transport->connected_peers().empty(); }));
    settings.self.incarnation = 4;
    beta = std::make_unique<test_process>(context, settings);
    BOOST_TEST(run_until(context, [&] { return is_connected_to(4); }));
}

BOOST_AUTO_TEST_CASE(an_unreachable_peer_has_a_bounded_queue)
{
    boost::asio::io_context context;
    peer_settings settings = settings_for("alpha");
    settings.queue_length = 3;
    settings.message_lifetime = std::chrono::milliseconds(300);
    test_process alpha(context, settings);
    for (unsigned count = 0; count < 10; ++count)
        alpha.transport->send(unreachable_endpoint, text_message()).value();
    BOOST_TEST(alpha.transport->messages_dropped() == 7U);
    BOOST_TEST(run_until(
        context, [&] { return alpha.transport->messages_dropped() == 10; }));
    BOOST_TEST(alpha.count(event_number::peer_messages_dropped) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
