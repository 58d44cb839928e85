#ifndef HIBISCUSFERRY_GATEWAY_CRASHES_REQUEST_QUARANTINE_HPP
#define HIBISCUSFERRY_GATEWAY_CRASHES_REQUEST_QUARANTINE_HPP

#include "gateway/protocol/caller_protocol.hpp"
#include "serving/serving.hpp"
#include <boost/asio/spawn.hpp>
#include <chrono>

namespace hibiscusferry
{

/** How a request is treated in view of the crashes of targets. */
enum class request_treatment
{
    admitted, ///< nothing in it is suspected
    probe,    ///< sent in order to find out whether it crashes a target
    refused ///< it, or a block of its prompt, is suspected of crashing targets
};

/** Withholds requests from targets under which targets crashed, and those with
   a block of their prompt under which targets crashed. */
class request_quarantine
{
public:
    virtual ~request_quarantine() = default;

    /** Decides on a request before an attempt.
        @param time_limit  the time after which a probe counts as without
                           result */
    virtual request_treatment assess(const gateway_request& request,
                                     std::chrono::milliseconds time_limit) = 0;

    /** Reports that the connection to a target broke before it had responded
        to a request, or had gone on beyond the first event of its stream. Finds
        out in the background whether the target crashed. */
    virtual void report_broken_attempt(const target_record& target,
                                       const gateway_request& request,
                                       bool was_probe) = 0;

    /** As report_broken_attempt(), but waits for the finding.
        @returns whether the target has crashed */
    virtual bool
    investigate_broken_attempt(const target_record& target,
                               const gateway_request& request, bool was_probe,
                               boost::asio::yield_context yield) = 0;

    virtual void report_completion(const gateway_request& request) = 0;
};

} // namespace hibiscusferry

#endif
