#ifndef HIBISCUSFERRY_GATEWAY_STATE_STORE_LINK_HPP
#define HIBISCUSFERRY_GATEWAY_STATE_STORE_LINK_HPP

#include "gateway/state/fleet_state.hpp"
#include <chrono>
#include <optional>
#include <system_error>

namespace hibiscusferry
{

/** Whether the table service answers this host, over all who call it. */
class store_link
{
public:
    store_link(process_core& core, fleet_state& fleet);

    /** A call was answered. */
    void succeeded();

    /** A call failed. One failure is not yet an outage. */
    void failed(std::error_code error);

    bool is_lost() const;

    /** Time since the last answer; since the start if there was none. */
    std::chrono::milliseconds silence() const;

private:
    process_core& core_;
    fleet_state& fleet_;
    time_point last_success_;
    bool is_lost_ = false;
};

} // namespace hibiscusferry

#endif
