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

/** The parameters of a target selection. */
struct selection_request
{
    /** The prefix_key() of the prompt, or 0 for no affinity. */
    std::uint64_t prefix = 0;
    double prefill_tokens = 0;
    double decode_tokens = 0;
    /** Targets that must not be selected, because they have already been
        tried. */
    std::vector<std::string> excluded;
    /** Whether a KV cache may be transferred between targets. False for
        application servers and for engines without this capability;
        prefill-only targets cannot be used then. */
    bool kv_transfer_allowed = true;
};

/** The targets selected for a request. */
struct target_selection
{
    /** The target that prefills. It also decodes if `decode_target` is
        empty. */
    std::string target;
    /** The target that decodes after a KV transfer; empty if it is the same
        target. */
    std::string decode_target;
    /** The number of KV cache blocks to transfer. */
    std::uint32_t kv_blocks = 0;
    /** Whether the target was selected by prefix affinity. */
    bool by_affinity = false;
};

/** The costs on which the selection is based, as times. */
struct selector_settings
{
    /** This router's availability zone. */
    std::string availability_zone;
    /** The time an engine needs to prefill one token. */
    std::chrono::nanoseconds prefill_token{50000};
    /** The delay of a new request caused by each active stream of a target. */
    std::chrono::nanoseconds stream_delay{4000000};
    /** The additional delay of a target in another availability zone. */
    std::chrono::nanoseconds zone_delay{3000000};
    /** The time to transfer one KV cache block. */
    std::chrono::nanoseconds kv_block_transfer_time{12000000};
    /** The delay of a target's streams caused by each waiting prefill token.
        Decode targets have none. */
    std::chrono::nanoseconds prefill_interference{20000};
    /** Affinity skips a target whose expected wait exceeds this multiple of the
        mean wait plus the time of one prefill of the request. */
    double load_bound = 1.25;
    /** A KV transfer must reduce the expected wait by this factor. */
    double min_transfer_gain = 1.2;
};

/** Selects a target from a target_table.

    If the request has a prefix, the targets are ranked by rendezvous hashing of
    the prefix. The prefix is assigned to the first target, or to several of the
    first targets in proportion to its share of the router's requests; among
    several, the better of two random ones is selected. A target whose load
    exceeds a multiple of the mean is skipped for the next in the ranking; see
    Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads",
    SODA 2018. Load reports are delayed and shared by many routers, so with the
    bound alone all routers would overflow to the same next target. The number
    of targets of a prefix that most requests have must therefore follow from
    its popularity.

    Without a prefix, the better of two random targets is selected; see
    Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
    Selecting the least loaded of all would send the requests of every router to
    the same target until its next report. Load is measured as expected wait:
    prefill tokens ahead, active streams, and the delay to another availability
    zone.

    A long prompt is prefilled at one target and decoded at another if this
    saves more time than the transfer of its KV cache takes.

    The selection takes one pass over the table's targets, whose number is
    limited by the subset. To be used from a single thread.
*/
class target_selector
{
public:
    /** @param settings the costs on which the selection is based
        @param seed the seed of the random numbers; must differ between routers
    */
    target_selector(const selector_settings& settings, std::uint64_t seed);

    /** Selects the targets for a request.

        @param permission null for services whose targets never change
        @returns the selection, or the reason why no target can be used
    */
    result<target_selection> choose(const target_table& table,
                                    const send_permission* permission,
                                    const selection_request& request,
                                    time_point now);

    /** The expected wait at a target, for /status and benchmarks. */
    std::chrono::nanoseconds expected_wait(const target_entry& entry) const;

private:
    struct candidate
    {
        const target_entry* entry = nullptr;
        /** The expected wait in nanoseconds. */
        double wait = 0;
        /** The weight in the prefix's rendezvous ranking; the greatest ranks
            first. */
        std::uint64_t preference = 0;
    };

    std::error_code collect_candidates(const target_table& table,
                                       const send_permission* permission,
                                       const selection_request& request,
                                       time_point now);
    void remove_suspected();
    void split_by_phase(bool kv_transfer_allowed);
    const candidate& choose_primary(const selection_request& request,
                                    bool& by_affinity);
    const candidate* choose_by_affinity(const selection_request& request);
    void order_by_preference(std::size_t count);
    const candidate& better_of_two(std::size_t count);
    const candidate* best_decode_candidate(const candidate& first) const;
    double decode_wait(const candidate& decode_candidate) const;
    bool is_transfer_worthwhile(const candidate& first,
                                const candidate& decode_candidate,
                                std::uint32_t blocks) const;
    std::uint64_t next_random();

    selector_settings settings_;
    std::uint64_t random_state_;
    prefix_popularity popularity_;
    /** Working storage of choose(), kept to avoid allocations. */
    std::vector<candidate> candidates_;
    std::vector<candidate> decode_candidates_;
};

} // namespace hibiscusferry

#endif
