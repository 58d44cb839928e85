#include "sharing/load/engine_observations.hpp"

#include "foundation/foundation.hpp"

namespace hibiscusferry
{

namespace
{

/** All members of step_observations. */
constexpr std::array<double step_observations::*, 8> all_sums{
    &step_observations::weight,
    &step_observations::tokens,
    &step_observations::duration_ms,
    &step_observations::tokens_squared,
    &step_observations::tokens_times_duration,
    &step_observations::exchanges,
    &step_observations::own_tokens,
    &step_observations::own_duration_ms};

} // namespace

step_observations& step_observations::operator+=(const step_observations& other)
{
    for (double step_observations::*const sum : all_sums)
        this->*sum += other.*sum;
    return *this;
}

step_observation_array to_array(const step_observations& observations)
{
    step_observation_array sums{};
    for (std::size_t index = 0; index < sums.size(); ++index)
        sums[index] = observations.*all_sums[index];
    return sums;
}

step_observations from_array(const step_observation_array& sums)
{
    step_observations observations;
    for (std::size_t index = 0; index < sums.size(); ++index)
        observations.*all_sums[index] = sums[index];
    return observations;
}

step_observations scaled(const step_observations& observations, double factor)
{
    step_observations result = observations;
    for (double step_observations::*const sum : all_sums)
        result.*sum *= factor;
    return result;
}

service_key key_of_service(const std::string& name)
{
    return static_cast<service_key>(stable_hash(name));
}

void add_observations(service_observations& sum,
                      const service_observations& other)
{
    for (const auto& [service, steps] : other)
    {
        engine_observations& total = sum[service];
        for (std::size_t step = 0; step < total.size(); ++step)
            total[step] += steps[step];
    }
}

} // namespace hibiscusferry
