#include "gateway/authority/fleet_authority.hpp"

#include <limits>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds lease_tick_period{100};
constexpr std::chrono::milliseconds lease_store_timeout{1000};

/** The lease covers the whole fleet. Its name must not depend on settings,
   which differ between hosts while regions and zones are added or renamed. */
constexpr char fleet_name[] = "fleet";
constexpr char lease_name[] = "duties";
/** The lease of each region in former versions, in which each region had a
    holder. */
constexpr char former_lease_name[] = "stages";
constexpr char lease_rows[] = "leases/";
constexpr std::size_t max_lease_rows = 1000;

lease_settings authority_lease()
{
    lease_settings settings;
    settings.watch_period = std::chrono::milliseconds(2000);
    // All relays stand in line: the first ones may be in a region that has lost
    // the store.
    settings.candidates = std::numeric_limits<std::size_t>::max();
    return settings;
}

process_identity identity_of(process_core& core)
{
    return {core.settings().host, core.id()};
}

} // namespace

fleet_authority::fleet_authority(process_core& core, fleet_state& fleet,
                                 state_follower& follower,
                                 load_exchange& exchange, table_store& store)
    : core_(core)
    , fleet_(fleet)
    , follower_(follower)
    , exchange_(exchange)
    , store_(store)
    , lease_(fleet_name, lease_name, identity_of(core), authority_lease(),
             core.identifiers())
{
    lease_.replace(regional_leases(former_lease_name));
}

result<void> fleet_authority::start()
{
    core_.repeat(lease_tick_period, [this] { tick(); });
    return outcome::success();
}

void fleet_authority::drain(std::function<void()> finished)
{
    perform(lease_.release(core_.now()));
    finished();
}

void fleet_authority::stop()
{
    is_stopping_ = true;
}

void fleet_authority::tick()
{
    if (is_stopping_ || !fleet_.has_target_list())
        return;
    // Relays are known to be live, and they read the store anyway.
    lease_.set_live_hosts(exchange_.relays());
    for (const std::string& region : fleet_.settings().regions)
        lease_.add_region(region);
    for (const std::string& region : follower_.directory().regions())
        lease_.add_region(region);
    perform(lease_.store_era_seen(follower_.replicas().era(), core_.now()));
    perform(lease_.tick(core_.now()));
}

void fleet_authority::perform(const lease_actions& actions)
{
    if (actions.change == lease_change::acquired)
    {
        acquired_at_ = core_.now();
        ++term_;
        core_.journal().record(
            event_number::lease_acquired,
            {{"lease", lease_.key()},
             {"fencing_number", std::to_string(lease_.fencing_number())}});
    }
    if (actions.change == lease_change::lost)
        core_.journal().record(event_number::lease_lost,
                               {{"lease", lease_.key()}});
    if (actions.change == lease_change::released)
        core_.journal().record(event_number::lease_released,
                               {{"lease", lease_.key()}});
    if (actions.commit)
    {
        const std::string write_id = actions.commit->write_id;
        store_.commit(
            *actions.commit, lease_store_timeout,
            [this, write_id](const result<commit_receipt>& receipt)
            {
                if (!receipt)
                    follower_.monitor().record_failure(receipt.error());
                perform(lease_.commit_finished(write_id, receipt, core_.now()));
            });
    }
    if (actions.read)
        store_.scan(lease_rows, "", max_lease_rows, lease_store_timeout,
                    [this](const result<std::vector<table_row>>& rows)
                    { perform(lease_.rows_read(rows, core_.now())); });
}

bool fleet_authority::may_act(time_point now) const
{
    return !is_stopping_ && lease_.may_act(now);
}

bool fleet_authority::may_begin_duties(time_point now) const
{
    if (!may_act(now) || !acquired_at_)
        return false;
    // Also after a release: a call may be on the way when the lease is
    // released.
    return lease_.is_first_holder() || now >= *acquired_at_ + delivery_margin;
}

std::optional<time_point> fleet_authority::acquired_at() const
{
    return lease_.is_holder() ? acquired_at_ : std::nullopt;
}

bool fleet_authority::is_first_holder() const
{
    return lease_.is_first_holder();
}

std::uint64_t fleet_authority::fencing_number() const
{
    return lease_.fencing_number();
}

std::vector<row_condition> fleet_authority::replacement_conditions() const
{
    return lease_.replacement_conditions();
}

std::string fleet_authority::holder() const
{
    // Hosts that do not compete for the lease do not follow its row.
    if (lease_.rank() >= authority_lease().candidates)
        return {};
    return lease_.observed_holder().host;
}

std::uint64_t fleet_authority::term() const
{
    return term_;
}

} // namespace hibiscusferry
