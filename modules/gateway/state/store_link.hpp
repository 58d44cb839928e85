#ifndef HIBISCUSFERRY_GATEWAY_STATE_STORE_LINK_HPP
#define HIBISCUSFERRY_GATEWAY_STATE_STORE_LINK_HPP

#include "gateway/state/fleet_state.hpp"
#include <chrono>
#include <string>
#include <system_error>

namespace hibiscusferry
{

/** Whether news of the table service reach this host: by its own calls, or
    through a relay that has read them. */
class store_link
{
public:
    store_link(process_core& core, fleet_state& fleet);

    /** A call of this host was answered. */
    void succeeded();

    /** A relay has heard from the store at that time. */
    void heard_by(const std::string& relay, time_point at);

    /** A call of this host failed. One failure is not yet an outage. */
    void failed(std::error_code error);

    /** Finds an outage; to be called about every 100 ms. */
    void tick();

    /** Whether the store answers this host's own calls, as far as it has
        made any lately. */
    bool answers_here() const;

private:
    void heard(const std::string& source, time_point at);

    process_core& core_;
    fleet_state& fleet_;
    time_point heard_at_;
    std::error_code last_error_;
    /** Failed calls since the last answer to one. */
    unsigned failures_in_row_ = 0;
    bool is_lost_ = false;
};

} // namespace hibiscusferry

#endif
