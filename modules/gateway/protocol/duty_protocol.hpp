#ifndef HIBISCUSFERRY_GATEWAY_PROTOCOL_DUTY_PROTOCOL_HPP
#define HIBISCUSFERRY_GATEWAY_PROTOCOL_DUTY_PROTOCOL_HPP

#include "http/http.hpp"
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hibiscusferry
{

/** The authority under which a call is made. The receiver may reject calls with
    a lower fencing number than it has seen. */
struct duty_authority
{
    /** The host that holds the lease. */
    std::string holder;
    std::uint64_t fencing_number = 0;
};

/** The requests that targets began to run within one window of time. */
struct window_usage
{
    /** The number of the window, counted from the start of 1970. */
    std::uint64_t window = 0;
    /** By the name of the workspace. */
    std::map<std::string, std::uint64_t> requests;
};

/** An order for a number of targets. It is absolute, so that it may be
    repeated. */
struct capacity_order
{
    std::string service;
    std::string availability_zone;
    /** The number of targets of this kind that the service shall have in the
        zone. */
    unsigned targets = 0;
    /** Whether the order is for reclaimable targets, which are counted
        separately. */
    bool is_reclaimable = false;
};

/** Outcome of a call. */
enum class duty_result
{
    accepted,
    unavailable, ///< no targets of the kind are available in the zone now
    busy,        ///< not done; the call may be repeated
    rejected     ///< the receiver does not accept the call in this form
};

/** "accepted", "unavailable", "busy" or "rejected". */
std::string_view to_text(duty_result outcome);

/** The protocol between the holder of a duty and the receiver of its calls. */
class duty_protocol
{
public:
    virtual ~duty_protocol() = default;

    /** The body of a report. Equal reports have equal bodies. */
    virtual std::string encode_report(const window_usage& report) const = 0;

    /** @param body  a body that encode_report() returned */
    virtual http_request
    write_report(const std::string& body,
                 const duty_authority& authority) const = 0;

    virtual http_request write_order(const capacity_order& order,
                                     const duty_authority& authority) const = 0;

    virtual duty_result read_response(unsigned status) const = 0;
};

} // namespace hibiscusferry

#endif
