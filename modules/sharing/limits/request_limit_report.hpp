#ifndef HIBISCUSFERRY_SHARING_LIMITS_REQUEST_LIMIT_REPORT_HPP
#define HIBISCUSFERRY_SHARING_LIMITS_REQUEST_LIMIT_REPORT_HPP

#include "sharing/load/in_flight_load.hpp"
#include <array>
#include <chrono>
#include <map>
#include <optional>

namespace hibiscusferry
{

/** What one or more hosts know and use of the request limit that a target has
    stated. The reports of several hosts can be added. */
struct request_limit_report
{
    /** An age beyond that of any statement. */
    static constexpr std::chrono::milliseconds no_statement =
        std::chrono::hours(24);

    /** Requests a second that the target takes from all hosts together, as it
        stated in a response; none if it takes any number again. */
    std::optional<double> rate;
    /** Time since the target stated that; no_statement if these hosts have
        received none lately. */
    std::chrono::milliseconds age = no_statement;
    /** Requests sent within the window of the limit. */
    double recent_requests = 0;
    /** Requests a second that would be sent if there were no limit: of the
        ranks up to the index, and of all ranks in the last element. */
    std::array<double, urgent_rank_count + 1> demand{};

    /** Adds the requests of other hosts, and adopts the newer statement. */
    request_limit_report& operator+=(const request_limit_report& other);
};

/** Reports by the incarnation of the target. */
using request_limit_reports = std::map<incarnation_key, request_limit_report>;

/** Adds reports that are `delay` old. */
void add_reports(request_limit_reports& sum, const request_limit_reports& other,
                 std::chrono::milliseconds delay);

} // namespace hibiscusferry

#endif
