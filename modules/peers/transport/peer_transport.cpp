#include "peers/transport/peer_transport.hpp"

#include "peers/transport/peer_connections.hpp"

namespace hibiscusferry
{

namespace
{

constexpr std::size_t min_shared_key_bytes = 16;
constexpr std::size_t max_self_id_bytes = 256;

bool is_valid(const peer_settings& settings)
{
    return !settings.self.id.empty() &&
           settings.self.id.size() <= max_self_id_bytes &&
           settings.shared_key.size() >= min_shared_key_bytes &&
           settings.queue_length > 0;
}

} // namespace

peer_transport::peer_transport(std::unique_ptr<implementation> impl)
    : implementation_(std::move(impl))
{
}

peer_transport::~peer_transport()
{
    stop();
}

result<std::unique_ptr<peer_transport>>
peer_transport::create(boost::asio::io_context& context, const clock& source,
                       event_journal& journal, const peer_settings& settings)
{
    if (!is_valid(settings))
        return make_error_code(peers_error::invalid_settings);
    return std::unique_ptr<peer_transport>(new peer_transport(
        std::make_unique<implementation>(context, source, journal, settings)));
}

result<void> peer_transport::start()
{
    if (implementation_->settings.listen)
    {
        const result<peer_endpoint> bound_endpoint =
            implementation_->sockets.listen(*implementation_->settings.listen);
        if (!bound_endpoint)
            return bound_endpoint.error();
        peer_identity& identity = implementation_->settings.self;
        if (identity.endpoint.port == 0)
            identity.endpoint = bound_endpoint.value();
    }
    implementation_->start_ticking();
    return outcome::success();
}

void peer_transport::stop()
{
    implementation_->timer.cancel();
    implementation_->sockets.close_all();
    implementation_->connections.clear();
    implementation_->remotes.clear();
    implementation_->keys_by_id.clear();
}

const peer_identity& peer_transport::self() const
{
    return implementation_->settings.self;
}

result<void> peer_transport::send(const peer_endpoint& endpoint,
                                  peer_message message)
{
    const result<void> validation = implementation_->check_message(message);
    if (!validation)
        return validation.error();
    const std::string key = endpoint.text();
    remote_peer& remote = implementation_->find_or_add_remote(key);
    remote.endpoint = endpoint;
    implementation_->push(remote, std::move(message));
    if (remote.active == 0)
        implementation_->open_if_due(key, remote);
    return outcome::success();
}

result<void> peer_transport::send_to(const std::string& peer_id,
                                     peer_message message)
{
    const auto key = implementation_->keys_by_id.find(peer_id);
    if (key == implementation_->keys_by_id.end())
        return make_error_code(peers_error::unknown_peer);
    const result<void> validation = implementation_->check_message(message);
    if (!validation)
        return validation.error();
    implementation_->push(implementation_->find_or_add_remote(key->second),
                          std::move(message));
    return outcome::success();
}

void peer_transport::on_message(const std::string& type,
                                message_handler handler)
{
    implementation_->handlers[type] = std::move(handler);
}

void peer_transport::maintain(const peer_endpoint& endpoint)
{
    const std::string key = endpoint.text();
    remote_peer& remote = implementation_->find_or_add_remote(key);
    remote.endpoint = endpoint;
    remote.is_maintained = true;
    const auto connection = implementation_->connections.find(remote.active);
    if (connection != implementation_->connections.end())
        connection->second.liveness.set_maintained(true);
    else
        implementation_->open_if_due(key, remote);
}

void peer_transport::release(const peer_endpoint& endpoint)
{
    const auto remote = implementation_->remotes.find(endpoint.text());
    if (remote == implementation_->remotes.end())
        return;
    remote->second.is_maintained = false;
    for (auto& [number, connection] : implementation_->connections)
    {
        if (connection.remote_key == remote->first)
            connection.liveness.set_maintained(false);
    }
}

std::vector<connected_peer> peer_transport::connected_peers() const
{
    std::vector<connected_peer> peers;
    for (const auto& [key, remote] : implementation_->remotes)
    {
        const auto connection =
            implementation_->connections.find(remote.active);
        if (connection != implementation_->connections.end())
            peers.push_back({connection->second.handshake.remote(),
                             connection->second.liveness.is_suspect()});
    }
    return peers;
}

std::uint64_t peer_transport::bytes_sent() const
{
    return implementation_->sockets.bytes_sent();
}

std::uint64_t peer_transport::bytes_received() const
{
    return implementation_->sockets.bytes_received();
}

std::uint64_t peer_transport::messages_sent() const
{
    return implementation_->sent;
}

std::uint64_t peer_transport::messages_received() const
{
    return implementation_->delivered;
}

std::uint64_t peer_transport::messages_dropped() const
{
    return implementation_->dropped;
}

} // namespace hibiscusferry
