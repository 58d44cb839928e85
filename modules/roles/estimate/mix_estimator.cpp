#include "roles/estimate/mix_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds fast_time_constant{5000};
constexpr std::chrono::milliseconds slow_time_constant{60000};
/** A report is fresh for this many of its router's usual intervals. */
constexpr int fresh_intervals = 5;
constexpr std::chrono::milliseconds least_freshness{6000};
/** A router that is silent for so long is no longer counted. */
constexpr std::chrono::seconds forget_after{60};

double averaging_weight(std::chrono::milliseconds sample,
                        std::chrono::milliseconds observed,
                        std::chrono::milliseconds time_constant)
{
    // Until a whole time constant was observed, the plain mean is better.
    const double plain = static_cast<double>(sample.count()) /
                         static_cast<double>((observed + sample).count());
    const double decayed =
        1.0 - std::exp(-static_cast<double>(sample.count()) /
                       static_cast<double>(time_constant.count()));
    return std::max(plain, decayed);
}

double engine_time_share(const token_demand& demand,
                         const engine_capacity& capacity)
{
    const engine_demand engines = to_engines(demand, capacity);
    const double total = engines.prefill + engines.decode;
    return total > 0 ? engines.prefill / total : 0.0;
}

bool counts_went_back(const router_load_report& older,
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
    const std::map<std::string, router_state>::iterator found =
        routers_.find(report.router);
    if (found == routers_.end())
    {
        if (routers_.size() < greatest_router_count)
        {
            router_state& state = routers_[report.router];
            state.last = report;
            state.received_at = now;
        }
        return;
    }

    router_state& state = found->second;
    if (report.incarnation < state.last.incarnation)
        return;
    if (report.incarnation > state.last.incarnation ||
        (report.uptime > state.last.uptime &&
         counts_went_back(state.last, report)))
    {
        state = router_state{};
        state.last = report;
        state.received_at = now;
        return;
    }
    const std::chrono::milliseconds elapsed = report.uptime - state.last.uptime;
    if (elapsed <= std::chrono::milliseconds::zero())
        return;

    const rates sample = rates_between(state.last, report);
    average(state.fast, sample,
            averaging_weight(elapsed, state.observed, fast_time_constant));
    average(state.slow, sample,
            averaging_weight(elapsed, state.observed, slow_time_constant));
    state.observed += elapsed;
    state.interval = state.interval.count() == 0
                         ? elapsed
                         : (state.interval * 7 + elapsed) / 8;
    state.last = report;
    state.received_at = now;
}

mix_estimate mix_estimator::estimate(time_point now)
{
    rates fast;
    rates slow;
    std::size_t fresh = 0;
    mix_estimate estimated;
    for (std::map<std::string, router_state>::iterator entry = routers_.begin();
         entry != routers_.end();)
    {
        const router_state& state = entry->second;
        if (now - state.received_at > forget_after)
        {
            entry = routers_.erase(entry);
            continue;
        }
        if (is_fresh(state, now))
        {
            ++fresh;
            add(fast, state.fast);
            add(slow, state.slow);
            estimated.waiting_prefill_tokens +=
                static_cast<double>(state.last.waiting_prefill_tokens);
        }
        ++entry;
    }

    if (slow.finished_requests > 0)
        output_tokens_ = slow.decoded_tokens / slow.finished_requests;
    estimated.fast = demand_of(fast, output_tokens_);
    estimated.slow = demand_of(slow, output_tokens_);
    if (fast.requests > 0)
        estimated.refused_part =
            std::min(1.0, fast.refused_requests / fast.requests);
    // What waits has to be served on top of what arrives.
    estimated.fast.prefill_tokens_per_second +=
        estimated.waiting_prefill_tokens /
        std::chrono::duration<double>(fast_time_constant).count();
    if (!routers_.empty())
        estimated.confidence =
            static_cast<double>(fresh) / static_cast<double>(routers_.size());
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

void mix_estimator::average(rates& into, const rates& sample, double weight)
{
    into.requests += weight * (sample.requests - into.requests);
    into.prefill_tokens +=
        weight * (sample.prefill_tokens - into.prefill_tokens);
    into.refused_requests +=
        weight * (sample.refused_requests - into.refused_requests);
    into.finished_requests +=
        weight * (sample.finished_requests - into.finished_requests);
    into.decoded_tokens +=
        weight * (sample.decoded_tokens - into.decoded_tokens);
}

void mix_estimator::add(rates& sum, const rates& part)
{
    sum.requests += part.requests;
    sum.prefill_tokens += part.prefill_tokens;
    sum.refused_requests += part.refused_requests;
    sum.finished_requests += part.finished_requests;
    sum.decoded_tokens += part.decoded_tokens;
}

token_demand mix_estimator::demand_of(const rates& sum, double output_tokens)
{
    return {sum.prefill_tokens,
            sum.decoded_tokens + sum.refused_requests * output_tokens};
}

bool mix_estimator::is_fresh(const router_state& state, time_point now)
{
    const std::chrono::milliseconds limit =
        std::max(least_freshness, state.interval * fresh_intervals);
    return now - state.received_at <= limit;
}

} // namespace hibiscusferry
