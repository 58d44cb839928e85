#ifndef HIBISCUSFERRY_SERVING_PLACING_ENGINE_PLACER_HPP
#define HIBISCUSFERRY_SERVING_PLACING_ENGINE_PLACER_HPP

#include "serving/model/fleet_configuration.hpp"
#include "serving/placing/server_placer.hpp"
#include "serving/placing/target_board.hpp"
#include <chrono>

namespace hibiscusferry
{

/** How fast the engines of a service are, and what a zone's border costs. */
struct engine_speeds
{
    /** Prompt tokens that a prefill engine reads in a millisecond. Engines do
        not announce it; the default is that of the engines in use today. */
    double prefill_tokens_per_ms = 350;
    /** A decode engine reads prompts at this part of that speed. */
    double decode_reading_part = 0.5;
    /** What each stream that runs adds before a new one starts. */
    double stream_step_ms = 0.15;
    /** Two further exchanges, and setting a transfer up. */
    double hand_over_ms = 3;
    /** Another zone's delay, and the price of its bytes as delay. */
    double other_zone_ms = 6;
};

/** What a generation is placed by. */
struct engine_request
{
    const prompt* wanted = nullptr;
    /** Time until an answer would be late; negative when it already is. */
    std::chrono::milliseconds until_late{0};
    /** Time until nobody waits for the answer any more. */
    std::chrono::milliseconds until_useless{0};
    /** Whether the prompt may be read at one engine and decoded at another. */
    bool may_hand_over = true;
    /** How slow the service's stages are as a whole. */
    service_slowness slowness;
    server_request common;
};

/** Where a generation goes. */
struct engine_placement
{
    /** Reads the prompt and hands it over; null when `decoder` reads it. */
    std::shared_ptr<target_view> reader;
    std::shared_ptr<target_view> decoder;
    /** Expected time to the first event. */
    double expected_ms = 0;
    /** Parts of it, as their tokens say, before what was observed of the
        engines' slowness. */
    double reader_plain_ms = 0;
    double decoder_plain_ms = 0;
    /** Tokens that have to be read. */
    double unread_tokens = 0;
};

/** Chooses the engines for a generation.

    Load it answers: prompts of ten thousand tokens with a few tokens to
    generate, two thirds of each prompt shared with others, hundreds a second
    in bursts that exceed what the engines can read; and among them short
    questions with long answers.

    Each way is given its expected time to the first event, and the shortest
    is taken: a prefill engine that reads the prompt and hands it over, or a
    decode engine that reads it itself, more slowly. Shared parts have a home
    among the prefill engines by rendezvous hashing, which counts as keeping
    them; so a prompt leaves its home only when the wait there exceeds what
    reading all of it elsewhere takes. The wait counts the unread tokens of
    all hosts.
*/
class engine_placer
{
public:
    explicit engine_placer(const engine_speeds& speeds);

    /** @returns the placement; without a decoder when there is no place, with
                 the reason, and the shortest expected time if it was busy */
    engine_placement
    place(const std::vector<std::shared_ptr<target_view>>& targets,
          const engine_request& request, const engine_properties& engine,
          time_point now, no_place& reason) const;

private:
    struct candidate
    {
        std::shared_ptr<target_view> target;
        double cost_ms = 0;
        double plain_ms = 0;
        double unread_tokens = 0;
    };

    bool is_candidate(const target_view& target, const engine_request& request,
                      time_point now) const;
    candidate best_reader(const std::vector<std::shared_ptr<target_view>>&,
                          const engine_request& request, time_point now) const;
    /** @param reads_prompt  whether the decoder reads the prompt itself */
    candidate best_decoder(const std::vector<std::shared_ptr<target_view>>&,
                           const engine_request& request,
                           const engine_properties& engine, bool reads_prompt,
                           time_point now) const;
    double zone_cost(const target_view& target,
                     const engine_request& request) const;

    engine_speeds speeds_;
};

} // namespace hibiscusferry

#endif
