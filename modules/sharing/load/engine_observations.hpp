#ifndef HIBISCUSFERRY_SHARING_LOAD_ENGINE_OBSERVATIONS_HPP
#define HIBISCUSFERRY_SHARING_LOAD_ENGINE_OBSERVATIONS_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace hibiscusferry
{

/** Sums over recent exchanges of one kind, from which the duration of the next
    one is estimated. The sums of several hosts can be added. */
struct step_observations
{
    /** The first five are the sums of a weighted linear regression of the
        duration over the tokens. */
    double weight = 0;
    double tokens = 0;
    double duration_ms = 0;
    double tokens_squared = 0;
    double tokens_times_duration = 0;
    /** Number of exchanges, without weights. */
    double exchanges = 0;
    /** Tokens of the exchanges themselves, without those ahead of them. */
    double own_tokens = 0;
    double own_duration_ms = 0;

    step_observations& operator+=(const step_observations& other);
};

/** The sums in the order of their declaration. */
using step_observation_array = std::array<double, 8>;

step_observation_array to_array(const step_observations& observations);
step_observations from_array(const step_observation_array& sums);

/** Returns all sums multiplied by a factor. */
step_observations scaled(const step_observations& observations, double factor);

/** The steps of a generation whose durations are observed. */
enum class engine_step
{
    prefill,  ///< a prefill engine computes the tokens of a prompt
    transfer, ///< from the attempt at a decode engine that fetches the KV cache
              ///< to the head of its response; the prompt tokens
    decode,   ///< from that attempt to the end of its stream; the output tokens
    completion ///< any stream from its head to its end; the output tokens
};

constexpr std::size_t engine_step_count = 4;

/** The observations of the engines of one service. */
using engine_observations = std::array<step_observations, engine_step_count>;

/** Identifies a service in messages: a hash of its name. */
using service_key = std::uint32_t;

service_key key_of_service(const std::string& name);

using service_observations = std::map<service_key, engine_observations>;

void add_observations(service_observations& sum,
                      const service_observations& other);

} // namespace hibiscusferry

#endif
