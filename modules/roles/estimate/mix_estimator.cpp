#include "roles/estimate/mix_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds fast_time_constant{5000};
constexpr std::chrono::milliseconds slow_time_constant{60000};
/** A report is considered fresh for this many mean report intervals of its
    router. */
constexpr int freshness_intervals = 5;
constexpr std::chrono::milliseconds min_freshness_period{6000};
/** A router that has sent no report for this period is removed. */
constexpr std::chrono::seconds router_retention{60};

double averaging_weight(std::chrono::milliseconds sample,
                        std::chrono::milliseconds observed_uptime,
                        std::chrono::milliseconds time_constant)
{
    // The exponential average starts at zero and is biased until one time
    // constant has been observed; the arithmetic mean is used until then.
    const double mean_weight =
        static_cast<double>(sample.count()) /
        static_cast<double>((observed_uptime + sample).count());
    const double exponential_weight =
        1.0 - std::exp(-static_cast<double>(sample.count()) /
                       static_cast<double>(time_constant.count()));
    return std::max(mean_weight, exponential_weight);
}

double engine_time_share(const token_demand& demand,
                         const engine_capacity& capacity)
{
    const engine_demand engines = to_engines(demand, capacity);
    const double total = engines.prefill + engines.decode;
    return total > 0 ? engines.prefill / total : 0.0;
}

bool counters_decreased(const router_load_report& older,
                        const router_load_report& newer)
{
    return newer.offered_requests < older.offered_requests ||
           newer.offered_prefill_tokens < older.offered_prefill_tokens ||
           newer.refused_requests < older.refused_requests ||
           newer.finished_requests < older.finished_requests ||
           newer.decoded_tokens < older.decoded_tokens;
}

} // namespace

double mix_estimate::prefill_share(const engine_capacity& capacity) const
{
    return engine_time_share(fast, capacity);
}

double mix_estimate::share_change(const engine_capacity& capacity) const
{
    return engine_time_share(fast, capacity) -
           engine_time_share(slow, capacity);
}

void mix_estimator::on_report(const router_load_report& report, time_point now)
{
    const std::map<std::string, router_state>::iterator entry =
        routers_.find(report.router);
    if (entry == routers_.end())
    {
        if (routers_.size() < max_router_count)
        {
            router_state& state = routers_[report.router];
            state.last_report = report;
            state.received_at = now;
        }
        return;
    }

    router_state& state = entry->second;
    if (report.incarnation < state.last_report.incarnation)
        return;
    if (report.incarnation > state.last_report.incarnation ||
        (report.uptime > state.last_report.uptime &&
         counters_decreased(state.last_report, report)))
    {
        state = router_state{};
        state.last_report = report;
        state.received_at = now;
        return;
    }
    const std::chrono::milliseconds elapsed =
        report.uptime - state.last_report.uptime;
    if (elapsed <= std::chrono::milliseconds::zero())
        return;

    const rates sample = rates_between(state.last_report, report);
    average(
        state.fast, sample,
        averaging_weight(elapsed, state.observed_uptime, fast_time_constant));
    average(
        state.slow, sample,
        averaging_weight(elapsed, state.observed_uptime, slow_time_constant));
    state.observed_uptime += elapsed;
    state.interval = state.interval.count() == 0
                         ? elapsed
                         : (state.interval * 7 + elapsed) / 8;
    state.last_report = report;
    state.received_at = now;
}

mix_estimate mix_estimator::estimate(time_point now)
{
    rates fast;
    rates slow;
    std::size_t fresh_routers = 0;
    mix_estimate estimated;
    for (std::map<std::string, router_state>::iterator entry = routers_.begin();
         entry != routers_.end();)
    {
        const router_state& state = entry->second;
        if (now - state.received_at > router_retention)
        {
            entry = routers_.erase(entry);
            continue;
        }
        if (is_fresh(state, now))
        {
            ++fresh_routers;
            add(fast, state.fast);
            add(slow, state.slow);
            estimated.waiting_prefill_tokens +=
                static_cast<double>(state.last_report.waiting_prefill_tokens);
        }
        ++entry;
    }

    if (slow.finished_requests > 0)
        mean_output_tokens_ = slow.decoded_tokens / slow.finished_requests;
    estimated.fast = demand_of(fast, mean_output_tokens_);
    estimated.slow = demand_of(slow, mean_output_tokens_);
    if (fast.requests > 0)
        estimated.refused_fraction =
            std::min(1.0, fast.refused_requests / fast.requests);
    // Queued prompts must be served in addition to new requests.
    estimated.fast.prefill_tokens_per_second +=
        estimated.waiting_prefill_tokens /
        std::chrono::duration<double>(fast_time_constant).count();
    if (!routers_.empty())
        estimated.confidence = static_cast<double>(fresh_routers) /
                               static_cast<double>(routers_.size());
    return estimated;
}

mix_estimator::rates
mix_estimator::rates_between(const router_load_report& older,
                             const router_load_report& newer)
{
    const double seconds =
        std::chrono::duration<double>(newer.uptime - older.uptime).count();
    rates sample;
    sample.requests =
        static_cast<double>(newer.offered_requests - older.offered_requests) /
        seconds;
    sample.prefill_tokens = static_cast<double>(newer.offered_prefill_tokens -
                                                older.offered_prefill_tokens) /
                            seconds;
    sample.refused_requests =
        static_cast<double>(newer.refused_requests - older.refused_requests) /
        seconds;
    sample.finished_requests =
        static_cast<double>(newer.finished_requests - older.finished_requests) /
        seconds;
    sample.decoded_tokens =
        static_cast<double>(newer.decoded_tokens - older.decoded_tokens) /
        seconds;
    return sample;
}

void mix_estimator::average(rates& averages, const rates& sample, double weight)
{
    averages.requests += weight * (sample.requests - averages.requests);
    averages.prefill_tokens +=
        weight * (sample.prefill_tokens - averages.prefill_tokens);
    averages.refused_requests +=
        weight * (sample.refused_requests - averages.refused_requests);
    averages.finished_requests +=
        weight * (sample.finished_requests - averages.finished_requests);
    averages.decoded_tokens +=
        weight * (sample.decoded_tokens - averages.decoded_tokens);
}

void mix_estimator::add(rates& sum, const rates& router_rates)
{
    sum.requests += router_rates.requests;
    sum.prefill_tokens += router_rates.prefill_tokens;
    sum.refused_requests += router_rates.refused_requests;
    sum.finished_requests += router_rates.finished_requests;
    sum.decoded_tokens += router_rates.decoded_tokens;
}

token_demand mix_estimator::demand_of(const rates& sum, double output_tokens)
{
    return {sum.prefill_tokens,
            sum.decoded_tokens + sum.refused_requests * output_tokens};
}

bool mix_estimator::is_fresh(const router_state& state, time_point now)
{
    const std::chrono::milliseconds limit =
        std::max(min_freshness_period, state.interval * freshness_intervals);
    return now - state.received_at <= limit;
}

} // namespace hibiscusferry
