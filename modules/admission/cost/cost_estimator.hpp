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

/** What is known of a request before it runs. */
struct request_size
{
    std::uint64_t prompt_bytes = 0;
    /** The caller's own limit on decoded tokens, if it gave one. */
    std::optional<std::uint32_t> max_tokens;
};

/** Estimates the cost of a service's requests before they run.

    Prefill follows from the prompt's bytes and the service's running mean of
    bytes per token; decode is the workspace's running mean of decoded tokens,
    and never more than the request's max_tokens. Both means are exponential
    ones over the answers that learn() is told of. Until a workspace has had
    an answer, the service's mean stands in.

    One per service, used from one thread. Holds one small entry for each
    workspace, at most `greatest_workspaces`; beyond that the service's mean is
    used. One request to an application server costs one decoded token.
*/
class cost_estimator
{
public:
    static constexpr double initial_bytes_per_token = 4.0;
    static constexpr double initial_decode_tokens = 256.0;
    /** Weight of the newest answer in a running mean. */
    static constexpr double newest_weight = 0.1;
    static constexpr std::size_t greatest_workspaces = 16384;

    explicit cost_estimator(service_kind kind);

    /** The expected work of a request of `workspace`. */
    request_cost estimate(const std::string& workspace,
                          const request_size& size) const;

    /** Takes into account what an answered request really took.
        @param actual  the engine's own counts */
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
