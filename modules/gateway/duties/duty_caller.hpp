#ifndef HIBISCUSFERRY_GATEWAY_DUTIES_DUTY_CALLER_HPP
#define HIBISCUSFERRY_GATEWAY_DUTIES_DUTY_CALLER_HPP

#include "gateway/authority/fleet_authority.hpp"
#include "gateway/protocol/duty_protocol.hpp"
#include <functional>
#include <optional>

namespace hibiscusferry
{

/** Calls the receiver of the fleet's duties, as long as this host holds the
    authority.

    The receiver need not check fencing numbers. Therefore a call is written
    only on a connection that is open, immediately after a check of the
    authority, and a call without a response is aborted before a successor may
    begin. */
class duty_caller
{
public:
    /** Writes a call under an authority. */
    using writer = std::function<http_request(const duty_authority&)>;

    duty_caller(process_core& core, const fleet_state& fleet,
                const fleet_authority& authority,
                const duty_protocol& protocol);

    /** @returns none if the call was not made, or it is not known whether it
                 arrived */
    std::optional<duty_result> call(const writer& write,
                                    boost::asio::yield_context yield);

    /** Takes a call out of the rate that the receiver allows.
        @returns whether a call may be made now */
    bool try_take();

private:
    process_core& core_;
    const fleet_state& fleet_;
    const fleet_authority& authority_;
    const duty_protocol& protocol_;
    const duty_settings settings_;
    double tokens_ = 1;
    time_point tokens_at_;
};

} // namespace hibiscusferry

#endif
