#ifndef HIBISCUSFERRY_ROUTING_CHOICE_TARGET_SELECTOR_HPP
#define HIBISCUSFERRY_ROUTING_CHOICE_TARGET_SELECTOR_HPP

#include "routing/choice/prefix_key.hpp"
#include "routing/choice/prefix_popularity.hpp"
#include "routing/choice/routing_error.hpp"
#include "routing/targets/send_permission.hpp"
#include "routing/targets/target_table.hpp"
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** What a target is wanted for. */
struct selection_request
{
    /** prefix_key() of the prompt, or 0 for no affinity. */
    std::uint64_t prefix = 0;
    double prefill_tokens = 0;
    double decode_tokens = 0;
    /** Targets that must not be used: those already tried. */
    std::vector<std::string> excluded;
    /** Whether KV cache may be handed over from one target to another: false
        for application servers, and for engines that cannot. Without it,
        targets that only prefill are of no use. */
    bool kv_transfer_allowed = true;
};

/** Where a request goes. */
struct target_selection
{
    /** The target that prefills, and decodes too unless `decode_target` is
        given. */
    std::string target;
    /** The target that decodes after hand-over; empty for the same one. */
    std::string decode_target;
    /** Pieces of KV cache to hand over. */
    std::uint32_t kv_blocks = 0;
    /** Whether the target is the one that prefix affinity prefers. */
    bool by_affinity = false;
};

/** Weights of the choice, in time. */
struct selector_settings
{
    /** This router's availability zone. */
    std::string availability_zone;
    /** Time that an engine takes to prefill one token. */
    std::chrono::nanoseconds prefill_token{50000};
    /** Time that each active stream of a target adds to a new request. */
    std::chrono::nanoseconds stream_delay{4000000};
    /** Time that another availability zone adds. */
    std::chrono::nanoseconds zone_delay{3000000};
    /** Time to hand over one piece of KV cache. */
    std::chrono::nanoseconds kv_block_transfer_time{12000000};
    /** Slowing of a target's streams for each waiting prefill token, which
        decode targets do not have. */
    std::chrono::nanoseconds prefill_interference{20000};
    /** A target may have this many times the mean wait, and the time of one
        prefill of the request, before affinity goes to the next one. */
    double load_bound = 1.25;
    /** A hand-over must be better by this factor. */
    double min_transfer_gain = 1.2;
};

/** Chooses a target from a target_table.

    With a prefix, the targets are taken in the prefix's rendezvous order. A
    prefix has one target, or as many of the first ones as its part of the
    router's requests deserves; among several, the better of two drawn at
    random. One whose load is beyond a bound of the mean is passed over for
    the next in order: "Consistent Hashing with Bounded Loads", Mirrokni,
    Thorup and Zadimoghaddam, SODA 2018. Loads are old when they are known,
    and many routers know the same: the bound alone would send all of them to
    the same next target, so that a prefix that most requests have needs the
    number of its targets from its popularity.

    Without a prefix, the better of two drawn at random (Mitzenmacher, "The
    Power of Two Choices in Randomized Load Balancing", 2001); the least
    loaded of all would draw every router to the same target until its next
    report. Load is expected waiting time: prefill tokens ahead, active
    streams, and the way to another availability zone.

    A long prompt is prefilled at one target and decoded at another when the
    time that its KV cache takes to be handed over is less than what is saved.

    One pass over the table's targets, which the subset keeps few. Used from
    one thread.
*/
class target_selector
{
public:
    /** @param seed  of the draws; differs between routers */
    target_selector(const selector_settings& settings, std::uint64_t seed);

    /** Chooses where a request goes, or says why it cannot.
        @param permission  null for services whose targets never change */
    result<target_selection> choose(const target_table& table,
                                    const send_permission* permission,
                                    const selection_request& request,
                                    time_point now);

    /** The expected wait at a target, for /status and benches. */
    std::chrono::nanoseconds expected_wait(const target_entry& entry) const;

private:
    struct candidate
    {
        const target_entry* entry = nullptr;
        /** Expected wait in nanoseconds. */
        double wait = 0;
        /** Place in the prefix's rendezvous order: the greatest first. */
        std::uint64_t preference = 0;
    };

    std::error_code gather(const target_table& table,
                           const send_permission* permission,
                           const selection_request& request, time_point now);
    void keep_healthy();
    void split_by_phase(bool kv_transfer_allowed);
    const candidate& choose_first(const selection_request& request,
                                  bool& by_affinity);
    const candidate* preferred_by(const selection_request& request);
    void order_by_preference(std::size_t count);
    const candidate& better_of_two(std::size_t count);
    const candidate* best_decoder(const candidate& first) const;
    double decode_wait(const candidate& decoder) const;
    bool hand_over_pays(const candidate& first, const candidate& decoder,
                        std::uint32_t pieces) const;
    std::uint64_t draw();

    selector_settings settings_;
    std::uint64_t random_state_;
    prefix_popularity popularity_;
    /** Scratch space of choose(), kept to save allocations. */
    std::vector<candidate> candidates_;
    std::vector<candidate> decoders_;
};

} // namespace hibiscusferry

#endif
