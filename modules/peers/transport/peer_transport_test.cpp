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
const peer_endpoint nowhere{"127.0.0.1", 1};
const std::string text_payload = "\x65hello";
constexpr std::chrono::seconds patience{10};

peer_settings settings_for(const std::string& id)
{
    peer_settings settings;
    settings.self.id = id;
    settings.self.incarnation = 3;
    settings.listen = peer_endpoint{"127.0.0.1", 0};
    settings.shared_key = peer_key;
    settings.probe_after = std::chrono::milliseconds(60);
    settings.probe_limit = std::chrono::milliseconds(60);
    settings.first_retry = std::chrono::milliseconds(20);
    return settings;
}

/** A process with a transport that collects its messages. */
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
        std::size_t found = 0;
        for (const event& item : journal.events())
            found += item.number == number ? 1 : 0;
        return found;
    }

    machine_clock clock;
    event_journal journal{clock, 1000};
    std::vector<received_peer_message> received;
    std::unique_ptr<peer_transport> transport;
};

bool run_until(boost::asio::io_context& context,
               const std::function<bool()>& condition)
{
    const time_point limit = boot_clock::now() + patience;
    while (!condition() && boot_clock::now() < limit)
        context.run_one_for(std::chrono::milliseconds(50));
    return condition();
}

peer_message text_message()
{
    return {"text", text_payload};
}

/** A client that knows the protocol and sends whatever the test says. */
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
                    { answer(number, frame); },
                    [](connection_number) {},
                    [this](connection_number)
                    {
                        is_closed_ = true;
                    }},
                   patience, 10)
        , number_(sockets_.open(endpoint))
    {
    }

    void send(const std::string& frame)
    {
        sockets_.send(number_, frame);
    }

    bool is_proven() const
    {
        return handshake_.is_proven();
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
    void answer(connection_number number, const std::string& frame)
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

/** Forwards TCP connections, and can make those open now go silent. */
class forwarder
{
public:
    forwarder(boost::asio::io_context& context, const peer_endpoint& target)
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

    void silence_open_connections()
    {
        ++silenced_below_;
        generation_ = silenced_below_;
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
    struct pipe
    {
        explicit pipe(boost::asio::io_context& context)
            : from(context)
            , to(context)
        {
        }

        tcp::socket from;
        tcp::socket to;
        unsigned generation = 0;
        std::array<char, 4096> forth{};
        std::array<char, 4096> back{};
    };

    void accept()
    {
        const std::shared_ptr<pipe> next = std::make_shared<pipe>(context_);
        acceptor_.async_accept(
            next->from,
            [this, next](const boost::system::error_code& error)
            {
                if (error)
                    return;
                ++accepted_;
                next->generation = generation_;
                next->to.connect(target_);
                copy(next, next->from, next->to, next->forth);
                copy(next, next->to, next->from, next->back);
                accept();
            });
    }

    void copy(const std::shared_ptr<pipe>& open, tcp::socket& from,
              tcp::socket& to, std::array<char, 4096>& buffer)
    {
        from.async_read_some(
            boost::asio::buffer(buffer),
            [this, open, &from, &to,
             &buffer](const boost::system::error_code& error, std::size_t count)
            {
                boost::system::error_code ignored;
                if (open->generation < silenced_below_)
                    return;
                if (error)
                {
                    to.close(ignored);
                    return;
                }
                boost::asio::write(to, boost::asio::buffer(buffer, count),
                                   ignored);
                copy(open, from, to, buffer);
            });
    }

    boost::asio::io_context& context_;
    tcp::endpoint target_;
    tcp::acceptor acceptor_;
    peer_endpoint endpoint_;
    unsigned generation_ = 0;
    unsigned silenced_below_ = 0;
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

    // Answers go back by id and by endpoint, over the same connection.
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

BOOST_AUTO_TEST_CASE(a_process_with_another_key_gets_nothing)
{
    boost::asio::io_context context;
    test_process alpha(context, settings_for("alpha"));
    peer_settings wrong = settings_for("stranger");
    wrong.shared_key = "0123456789abcdeF";
    test_process stranger(context, wrong);
    // Neither side takes the other for a peer, whoever opens.
    stranger.transport->send(alpha.endpoint(), text_message()).value();
    BOOST_TEST(run_until(
        context,
        [&] { return stranger.count(event_number::peer_not_proven) > 0; }));
    alpha.transport->send(stranger.endpoint(), text_message()).value();
    BOOST_TEST(
        run_until(context, [&]
                  { return alpha.count(event_number::peer_not_proven) > 0; }));
    BOOST_TEST(alpha.transport->connected_peers().empty());
    BOOST_TEST(stranger.transport->connected_peers().empty());
    BOOST_TEST(alpha.received.size() + stranger.received.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_bad_frame_ends_its_connection_only)
{
    const std::string deep(60U << 10, '\x81');
    const std::string oversized(greatest_frame_bytes + 1, '\x01');
    const std::string forged =
        encode_envelope({"beta", 3, {1, 0}, {"text", text_payload}});
    for (const std::string& frame :
         {std::string("garbage"), std::string(), deep, oversized, forged})
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

BOOST_AUTO_TEST_CASE(a_message_before_the_proof_is_refused)
{
    boost::asio::io_context context;
    test_process alpha(context, settings_for("alpha"));
    rogue_client rogue(context, alpha.endpoint(), "another key of 16");
    BOOST_TEST(run_until(context, [&] { return rogue.frames() == 1; }));
    rogue.send(encode_envelope({"rogue", 1, {1, 0}, {"text", text_payload}}));
    BOOST_TEST(run_until(context, [&] { return rogue.is_closed(); }));
    BOOST_TEST(!rogue.is_proven());
    BOOST_TEST(alpha.received.empty());
}

BOOST_AUTO_TEST_CASE(what_does_not_fit_is_refused_by_the_sender)
{
    boost::asio::io_context context;
    test_process alpha(context, settings_for("alpha"));
    const std::string large(greatest_frame_bytes, 'x');
    std::string payload("\x7a\x00\x01\x00\x00", 5);
    payload += large;
    BOOST_TEST(alpha.transport->send(nowhere, {"text", payload}).error() ==
               peers_error::too_large);
    BOOST_TEST(alpha.transport->send(nowhere, {"text", "\xff"}).error() ==
               peers_error::malformed);
}

BOOST_AUTO_TEST_CASE(a_silent_connection_is_replaced_by_a_new_one)
{
    boost::asio::io_context context;
    test_process alpha(context, settings_for("alpha"));
    test_process beta(context, settings_for("beta"));
    forwarder between(context, beta.endpoint());
    alpha.transport->maintain(between.endpoint());
    BOOST_TEST(run_until(
        context, [&] { return !alpha.transport->connected_peers().empty(); }));

    between.silence_open_connections();
    BOOST_TEST(run_until(context,
                         [&]
                         {
                             const std::vector<connected_peer> peers =
                                 alpha.transport->connected_peers();
                             return between.accepted() == 2 &&
                                    peers.size() == 1 && !peers[0].is_suspect;
                         }));
    BOOST_TEST(alpha.count(event_number::peer_suspect) == 1U);
    alpha.transport->send(between.endpoint(), text_message()).value();
    BOOST_TEST(run_until(context, [&] { return beta.received.size() == 1; }));
}

BOOST_AUTO_TEST_CASE(a_peer_that_is_silent_on_all_connections_is_lost)
{
    boost::asio::io_context context;
    test_process alpha(context, settings_for("alpha"));
    test_process beta(context, settings_for("beta"));
    forwarder between(context, beta.endpoint());
    alpha.transport->send(between.endpoint(), text_message()).value();
    BOOST_TEST(run_until(context, [&] { return beta.received.size() == 1; }));

    between.silence_open_connections();
    between.stop_accepting();
    alpha.transport->send(between.endpoint(), text_message()).value();
    BOOST_TEST(run_until(
        context, [&] { return alpha.transport->connected_peers().empty(); }));
    BOOST_TEST(alpha.count(event_number::peer_disconnected) == 1U);
}

BOOST_AUTO_TEST_CASE(a_maintained_peer_is_reached_again_after_its_restart)
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

BOOST_AUTO_TEST_CASE(a_peer_that_cannot_be_reached_costs_a_bounded_queue)
{
    boost::asio::io_context context;
    peer_settings settings = settings_for("alpha");
    settings.queue_length = 3;
    settings.message_lifetime = std::chrono::milliseconds(300);
    test_process alpha(context, settings);
    for (unsigned count = 0; count < 10; ++count)
        alpha.transport->send(nowhere, text_message()).value();
    BOOST_TEST(alpha.transport->messages_dropped() == 7U);
    BOOST_TEST(run_until(
        context, [&] { return alpha.transport->messages_dropped() == 10; }));
    BOOST_TEST(alpha.count(event_number::peer_messages_dropped) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
