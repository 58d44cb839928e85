#ifndef HIBISCUSFERRY_EXTRAS_SOAK_SOAK_TARGET_HPP
#define HIBISCUSFERRY_EXTRAS_SOAK_SOAK_TARGET_HPP

#include "soak/fault_set.hpp"
#include "soak/request_ledger.hpp"

#include "deployment.hpp"
#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace hibiscusferry::soak
{

/** From one start of a target to its end. */
struct target_incarnation
{
    std::string id;
    std::string version;
    std::int64_t born_ms = 0;
    std::atomic<bool> is_running{true};
    /** Whether its connections end with a reset. */
    std::atomic<bool> resets{false};
    std::atomic<int> runs{0};
    std::atomic<int> running{0};
};

struct target_settings
{
    std::string name;
    std::string service;
    std::string address;
    std::string availability_zone;
    std::string version;
    /** "prefill" or "decode"; empty for a target that is no engine. */
    std::string stage;
    unsigned slots = 8;
    std::uint64_t seed = 0;
};

/** What targets and the rest of the run share. */
struct target_surroundings
{
    review::platform_store& store;
    request_ledger& ledger;
    review::event_record& record;
    const fault_set& faults;
};

/** A target with its row in the store, which starts and ends many times.
    Thread-safe. */
class soak_target
{
public:
    soak_target(target_settings settings,
                const target_surroundings& surroundings);
    soak_target(const soak_target&) = delete;
    soak_target& operator=(const soak_target&) = delete;

    /** Registers this port instead of its own, such as that of a proxy. */
    void register_at(std::uint16_t port);
    std::uint16_t port() const;
    const target_settings& settings() const;

    /** @param version  empty for the version that it had
        @param keeps_id  starts under the id that it had */
    void start(const std::string& version, bool keeps_id);
    /** Ends as if its process were killed. Its row is removed later.
        @param resets  whether connections end with a reset */
    void crash(bool resets);
    /** Reports that it leaves; goes on serving until it is ended. */
    void drain();
    /** Ends after it has reported that it leaves. */
    void leave();
    bool is_running();

private:
    void listen();
    void serve(review::connection& peer);
    void serve_requests(review::connection& peer, target_incarnation& life);
    void write_rows();
    void end(bool resets);
    void put_row();

    const target_settings settings_;
    const target_surroundings surroundings_;
    std::string last_version_;
    std::mutex mutex_;
    std::shared_ptr<target_incarnation> life_;
    std::string state_ = "ready";
    std::string last_id_;
    std::uint16_t port_ = 0;
    std::uint16_t registered_port_ = 0;
    int incarnations_ = 0;
    int sequence_ = 0;
    std::atomic<int> connections_{0};
    std::int64_t row_due_ms_ = 0;
    /** The row of a crashed target and when the platform removes it. */
    std::string expired_row_;
    std::int64_t row_expires_ms_ = 0;
    std::set<int> descriptors_;
    std::unique_ptr<review::listener> listener_;
    std::thread rows_;
};

} // namespace hibiscusferry::soak

#endif
