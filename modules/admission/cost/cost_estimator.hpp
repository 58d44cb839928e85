#ifndef HIBISCUSFERRY_ADMISSION_COST_COST_ESTIMATOR_HPP
#define HIBISCUSFERRY_ADMISSION_COST_COST_ESTIMATOR_HPP

#include "admission/cost/request_cost.hpp"
#include "foundation/foundation.hpp"
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace hibiscusferry
{

/** The properties of a request that are available before it runs. */
struct request_size
{
    std::uint64_t prompt_bytes = 0;
    /** The limit on decoded tokens that the caller set in the request. */
    std::optional<std::uint32_t> max_tokens;
};

/** Estimates the cost of a service's requests before they run.

    The prefill cost is computed from the size of the prompt and the service's
    mean number of bytes per token. The decode cost is the workspace's mean
    number of decoded tokens, limited by the request's max_tokens. Both are
    exponential moving averages over the responses passed to learn(). The
    service's mean is used for a workspace that has no response yet.

    There is one estimator per service, used from one thread. It holds one
    small entry per workspace, for at most `max_workspaces` workspaces;
    the service's mean is used for all others. A request to an application
    server costs one decoded token.
*/
class cost_estimator
{
public:
    static constexpr double initial_bytes_per_token = 4.0;
    static constexpr double initial_decode_tokens = 256.0;
    /** Weight of the latest response in a moving average. */
    static constexpr double smoothing_factor = 0.1;
    static constexpr std::size_t max_workspaces = 16384;

    explicit cost_estimator(service_kind kind);

    /** Returns the expected work of a request of `workspace`. */
    request_cost estimate(const std::string& workspace,
                          const request_size& size) const;

    /** Updates the means with the actual work of a completed request.
        @param actual  the token counts reported by the engine */
    void learn(const std::string& workspace, const request_size& size,
               const request_cost& actual);

private:
    service_kind kind_;
    double bytes_per_token_ = initial_bytes_per_token;
    double decode_tokens_ = initial_decode_tokens;
    std::unordered_map<std::string, double> decode_by_workspace_;
};

} // namespace hibiscusferry

#endif
