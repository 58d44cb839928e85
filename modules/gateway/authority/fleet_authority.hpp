#ifndef HIBISCUSFERRY_GATEWAY_AUTHORITY_FLEET_AUTHORITY_HPP
#define HIBISCUSFERRY_GATEWAY_AUTHORITY_FLEET_AUTHORITY_HPP

#include "authority/authority.hpp"
#include "gateway/sharing/load_exchange.hpp"
#include "gateway/state/state_follower.hpp"
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** The authority to act for the fleet, which one host at a time holds: to order
    engines and targets, and to report usage. It covers all regions, as do the
    receivers of these calls.

    Takes part in a lease in the table service. Whoever acts under it calls
    may_act() immediately before the bytes of a call are written, and nothing
    may wait between the two. */
class fleet_authority final : public kernel_service
{
public:
    static constexpr const char* name = "fleet_authority";

    /** A call that the former holder sent before its term ended has arrived by
        this time after the lease was acquired. */
    static constexpr std::chrono::milliseconds delivery_margin{2000};

    fleet_authority(process_core& core, fleet_state& fleet,
                    state_follower& follower, load_exchange& exchange,
                    table_store& store);

    result<void> start() override;
    void drain(std::function<void()> finished) override;
    void stop() override;

    /** Whether this host holds the authority now. */
    bool may_act(time_point now) const;

    /** Whether no call of a former holder can arrive any more. */
    bool may_begin_duties(time_point now) const;

    /** When this host became the holder; none if it is not. */
    std::optional<time_point> acquired_at() const;

    /** Whether nobody has held the authority before this host. */
    bool is_first_holder() const;

    /** Rises with each change of the holder. Valid while may_act(). */
    std::uint64_t fencing_number() const;

    /** Hold as long as this host has not been replaced as the holder. A write
        under these conditions has no effect after that. */
    std::vector<row_condition> replacement_conditions() const;

    /** The host that holds the authority, as far as this host knows; empty if
        it does not know. */
    std::string holder() const;

    /** Changes with each term of this host as the holder. */
    std::uint64_t term() const;

private:
    void tick();
    void perform(const lease_actions& actions);

    process_core& core_;
    fleet_state& fleet_;
    state_follower& follower_;
    load_exchange& exchange_;
    table_store& store_;
    lease_holder lease_;
    std::optional<time_point> acquired_at_;
    std::uint64_t term_ = 0;
    bool is_stopping_ = false;
};

} // namespace hibiscusferry

#endif
