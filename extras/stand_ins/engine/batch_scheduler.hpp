#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_BATCH_SCHEDULER_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_BATCH_SCHEDULER_HPP

#include "stand_ins/engine/prefix_cache.hpp"
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace hibiscusferry::stand_ins
{

/** The state of a generation. */
enum class generation_state
{
    waiting,
    running,
    finished,
    cancelled, ///< cancelled by the client
    aborted    ///< aborted by a change of the engine's role or model
};

/** A completion that is being generated. */
struct generation
{
    std::string id;
    std::string attempt_id;
    std::string model;
    bool is_chat = true;
    /** From 0 (most urgent) to 9. */
    unsigned priority = 5;
    std::size_t prompt_tokens = 0;
    std::size_t cached_tokens = 0;
    std::size_t remaining_prefill_tokens = 0;
    std::vector<std::string> prefixes;
    /** All tokens of the completion; the first `produced` of them have been
        generated. */
    std::vector<std::string> tokens;
    std::size_t produced = 0;
    bool reached_limit = false;
    generation_state state = generation_state::waiting;

    bool is_active() const;
};

using generation_pointer = std::shared_ptr<generation>;

/** The cost model of a simulated engine. */
struct engine_costs
{
    double prefill_tokens_per_second = 20000;
    std::chrono::microseconds decode_step{20000};
    std::size_t max_running = 64;
    std::size_t kv_tokens = 200000;
};

/** Schedules generations by continuous batching.

    Each step prefills a part of the prompts and decodes one token of every
    running generation. Generations are admitted and prefilled in order of
    their priority. The class performs no I/O and doesn't read a clock.
*/
class batch_scheduler
{
public:
    explicit batch_scheduler(const engine_costs& costs);

    /** Sets the limits on prompt tokens per step and on concurrently running
        generations that belong to a role.

        @param role  "prefill", "decode" or "mixed"
    */
    void set_role(const std::string& role);

    void submit(const generation_pointer& item);

    /** Terminates a generation before it is complete. */
    void end(generation& item, generation_state state);

    bool has_work() const;

    /** Plans the next step.
        @returns the duration of the step */
    std::chrono::nanoseconds begin_step();

    /** Applies the planned step.
        @returns the generations that produced a token */
    std::vector<generation_pointer> finish_step();

    std::size_t waiting_prefill_tokens() const;
    std::size_t active_streams() const;
    std::size_t free_kv_tokens() const;
    std::size_t waiting() const;

    /** Returns all waiting and running generations. */
    std::vector<generation_pointer> active() const;

    prefix_cache& cache();

private:
    struct planned_prefill
    {
        generation_pointer item;
        std::size_t tokens = 0;
    };

    void admit_waiting();
    void remove_ended();
    std::size_t plan_prefill();
    std::size_t reserved_tokens() const;

    engine_costs costs_;
    std::size_t prefill_budget_ = 0;
    std::size_t max_running_ = 0;
    /** Ordered by priority, then by arrival. */
    std::vector<generation_pointer> waiting_;
    std::vector<generation_pointer> running_;
    std::vector<planned_prefill> planned_;
    std::vector<generation_pointer> decoding_;
    prefix_cache cache_;
};

} // namespace hibiscusferry::stand_ins

#endif
