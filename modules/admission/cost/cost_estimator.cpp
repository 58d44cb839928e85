#include "admission/cost/cost_estimator.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

void update_mean(double& mean, double sample)
{
    mean += cost_estimator::smoothing_factor * (sample - mean);
}

} // namespace

cost_estimator::cost_estimator(service_kind kind)
    : kind_(kind)
{
}

request_cost cost_estimator::estimate(const std::string& workspace,
                                      const request_size& size) const
{
    if (kind_ == service_kind::application)
        return {0, 1};

    request_cost cost;
    cost.prefill_tokens = std::max(1.0, static_cast<double>(size.prompt_bytes) /
                                            bytes_per_token_);
    const auto workspace_mean = decode_by_workspace_.find(workspace);
    cost.decode_tokens = workspace_mean == decode_by_workspace_.end()
                             ? decode_tokens_
                             : workspace_mean->second;
    if (size.max_tokens)
    {
        cost.decode_tokens =
            std::min(cost.decode_tokens, static_cast<double>(*size.max_tokens));
    }
    cost.decode_tokens = std::max(1.0, cost.decode_tokens);
    return cost;
}

void cost_estimator::learn(const std::string& workspace,
                           const request_size& size, const request_cost& actual)
{
    if (kind_ == service_kind::application)
        return;

    if (actual.prefill_tokens >= 1 && size.prompt_bytes > 0)
    {
        update_mean(bytes_per_token_, static_cast<double>(size.prompt_bytes) /
                                          actual.prefill_tokens);
    }
    update_mean(decode_tokens_, actual.decode_tokens);

    const auto workspace_mean = decode_by_workspace_.find(workspace);
    if (workspace_mean != decode_by_workspace_.end())
        update_mean(workspace_mean->second, actual.decode_tokens);
    else if (decode_by_workspace_.size() < max_workspaces)
        decode_by_workspace_.emplace(workspace, actual.decode_tokens);
}

} // namespace hibiscusferry
