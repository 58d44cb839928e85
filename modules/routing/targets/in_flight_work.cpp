#include "routing/targets/in_flight_work.hpp"

#include <algorithm>

namespace hibiscusferry
{

void in_flight_work::started(const std::string& attempt, double prefill_tokens,
                             time_point now)
{
    attempts_.push_back(
        {attempt, prefill_tokens, now, std::nullopt, std::nullopt});
    ++running_;
    update_correction(now);
}

void in_flight_work::prefilled(const std::string& attempt, time_point now)
{
    for (attempt_state& state : attempts_)
    {
        if (state.attempt == attempt && !state.prefilled)
            state.prefilled = now;
    }
    update_correction(now);
}

void in_flight_work::ended(const std::string& attempt, time_point now)
{
    for (attempt_state& state : attempts_)
    {
        if (state.attempt != attempt || state.ended)
            continue;
        state.ended = now;
        --running_;
    }
    remove_oldest_ended();
    update_correction(now);
}

void in_flight_work::reported(time_point measured_at)
{
    measured_at_ = measured_at;
    attempts_.erase(std::remove_if(attempts_.begin(), attempts_.end(),
                                   [measured_at](const attempt_state& state) {
                                       return state.ended &&
                                              *state.ended <= measured_at;
                                   }),
                    attempts_.end());
    update_correction(time_point::max());
}

const target_load& in_flight_work::correction() const
{
    return correction_;
}

std::size_t in_flight_work::size() const
{
    return running_;
}

target_load in_flight_work::load_at(const attempt_state& state, time_point when)
{
    if (state.started > when || (state.ended && *state.ended <= when))
        return {};
    const bool prefilled = state.prefilled && *state.prefilled <= when;
    return {prefilled ? 0 : state.prefill_tokens, 1};
}

void in_flight_work::remove_oldest_ended()
{
    if (attempts_.size() - running_ <= max_ended_attempts)
        return;
    const auto oldest = std::find_if(attempts_.begin(), attempts_.end(),
                                     [](const attempt_state& state)
                                     { return state.ended.has_value(); });
    attempts_.erase(oldest);
}

void in_flight_work::update_correction(time_point now)
{
    correction_ = {};
    for (const attempt_state& state : attempts_)
    {
        const target_load present = load_at(state, now);
        correction_.prefill_tokens += present.prefill_tokens;
        correction_.streams += present.streams;
        if (!measured_at_)
            continue;
        const target_load counted = load_at(state, *measured_at_);
        correction_.prefill_tokens -= counted.prefill_tokens;
        correction_.streams -= counted.streams;
    }
}

} // namespace hibiscusferry
