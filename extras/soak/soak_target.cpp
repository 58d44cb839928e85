#include "soak/soak_target.hpp"

#include "soak/seeded_random.hpp"
#include "soak/target_exchange.hpp"

#include <sys/socket.h>

namespace hibiscusferry::soak
{

using review::connection;
using review::milliseconds;

namespace
{

constexpr std::int64_t heartbeat_ms = 1200;
constexpr milliseconds poll_interval{100};

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

soak_target::soak_target(target_settings settings,
                         const target_surroundings& surroundings)
    : settings_(std::move(settings))
    , surroundings_(surroundings)
    , last_version_(settings_.version)
{
    listen();
    registered_port_ = port_;
    rows_ = std::thread([this] { write_rows(); });
    rows_.detach();
}

void soak_target::listen()
{
    listener_ = std::make_unique<review::listener>(
        settings_.address, port_, [this](connection& peer) { serve(peer); });
    port_ = listener_->port();
}

void soak_target::register_at(std::uint16_t port)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    registered_port_ = port;
}

std::uint16_t soak_target::port() const
{
    return port_;
}

const target_settings& soak_target::settings() const
{
    return settings_;
}

// ========================================================================
// Start and end

void soak_target::start(const std::string& version, bool keeps_id)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (life_)
        return;
    if (!listener_)
        listen();
    ++incarnations_;
    life_ = std::make_shared<target_incarnation>();
    life_->id = keeps_id && !last_id_.empty()
                    ? last_id_
                    : settings_.name + "-" + std::to_string(incarnations_);
    life_->version = version.empty() ? last_version_ : version;
    last_version_ = life_->version;
    life_->born_ms = unix_ms();
    if (life_->id == expired_row_)
        expired_row_.clear();
    last_id_ = life_->id;
    state_ = "ready";
    sequence_ = 0;
    surroundings_.record.add("target " + life_->id + " starts at " +
                             life_->version);
    put_row();
}

void soak_target::crash(bool resets)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!life_)
        return;
    if (!expired_row_.empty())
        surroundings_.store.remove("servers", expired_row_);
    expired_row_ = life_->id;
    row_expires_ms_ = unix_ms() + 3 * heartbeat_ms;
    surroundings_.record.add("target " + life_->id + " crashes");
    end(resets);
}

void soak_target::drain()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!life_)
        return;
    state_ = "draining";
    surroundings_.record.add("target " + life_->id + " drains");
    put_row();
}

void soak_target::leave()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!life_ || state_ != "draining")
        return;
    surroundings_.store.remove("servers", life_->id);
    surroundings_.record.add("target " + life_->id + " has left");
    end(false);
}

void soak_target::end(bool resets)
{
    // Behind a proxy the port does not refuse connections afterwards, so that
    // nothing would tell the end of the process from that of a response.
    const bool is_reset = resets || registered_port_ != port_;
    life_->resets = is_reset;
    life_->is_running = false;
    life_.reset();
    listener_.reset();
    if (is_reset)
        return;
    // The threads of the connections may be asleep.
    for (const int descriptor : descriptors_)
        ::shutdown(descriptor, SHUT_RDWR);
}

bool soak_target::is_running()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return life_ != nullptr;
}

// ========================================================================
// The row in the store

void soak_target::write_rows()
{
    for (;; std::this_thread::sleep_for(poll_interval))
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::int64_t now = unix_ms();
        if (!expired_row_.empty() && now >= row_expires_ms_)
        {
            surroundings_.store.remove("servers", expired_row_);
            expired_row_.clear();
        }
        if (life_ && now >= row_due_ms_)
            put_row();
    }
}

void soak_target::put_row()
{
    row_due_ms_ = unix_ms() + heartbeat_ms;
    nlohmann::json row{
        {"service", settings_.service},
        {"address", settings_.address + ":" + std::to_string(registered_port_)},
        {"zone", settings_.availability_zone},
        {"version", life_->version},
        {"slots", settings_.slots},
        {"state", state_},
        {"cold-remaining-ms", 0},
        {"born", life_->born_ms},
        {"seq", ++sequence_}};
    if (!settings_.stage.empty())
        row["stage"] = settings_.stage;
    surroundings_.store.put("servers", life_->id, row.dump());
}

// ========================================================================
// Connections

void soak_target::serve(connection& peer)
{
    std::shared_ptr<target_incarnation> life;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        life = life_;
        if (life)
            descriptors_.insert(peer.descriptor());
    }
    if (life)
        serve_requests(peer, *life);
    const std::lock_guard<std::mutex> lock(mutex_);
    descriptors_.erase(peer.descriptor());
    if (!life || (!life->is_running && life->resets))
        peer.reset();
}

void soak_target::serve_requests(connection& peer, target_incarnation& life)
{
    seeded_random random(settings_.seed, settings_.name + " connection " +
                                             std::to_string(++connections_));
    std::string extra;
    for (;;)
    {
        const review::steady_clock::time_point idle_until =
            review::steady_clock::now() +
            random.between(milliseconds(300), milliseconds(6000));
        std::optional<review::message_head> head;
        while (!head && life.is_running && !peer.is_closed_by_peer() &&
               review::steady_clock::now() < idle_until)
            head = peer.read_head(poll_interval);
        if (!head)
            return;
        target_exchange exchange(peer, *head, life, settings_, surroundings_);
        const bool stays_open = exchange.serve(extra);
        if (!stays_open)
            return;
    }
}

} // namespace hibiscusferry::soak
