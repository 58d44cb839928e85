#ifndef HIBISCUSFERRY_SHARING_CRASHES_CRASH_EVIDENCE_HPP
#define HIBISCUSFERRY_SHARING_CRASHES_CRASH_EVIDENCE_HPP

#include "foundation/foundation.hpp"
#include "sharing/load/in_flight_load.hpp"
#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace hibiscusferry
{

/** Identifies what may have crashed a target, in messages between hosts: a
    block of prompts, or a whole request. */
using input_key = std::uint64_t;

/** Returns the key of a block of prompts.
    @param hash  of its id */
input_key key_of_block(std::uint64_t hash);

/** Returns the key of a request that may come again in the same words.
    @param hash  of its words */
input_key key_of_request(std::uint64_t hash);

bool is_request_key(input_key input);

/** What the hosts have seen of targets that crashed while they began to respond
    to a request with a certain input.

    Two records of the same input can be merged in any order and any number of
    times with the same result.
*/
struct input_record
{
    static constexpr std::size_t max_crashes = 8;

    /** The newest crashes, and when they were first seen. */
    std::map<incarnation_key, time_point> crashes;
    /** When a request with this input last completed; crashes before that
        had another cause. */
    time_point cleared_at{};
    /** Number of probes that crashed their targets since the last completion,
        and the time of the last one. */
    unsigned failed_probes = 0;
    time_point last_probe_failed_at{};

    /** Adds a crash, and drops the oldest one if there are too many.
        @returns whether it was unknown */
    bool add_crash(incarnation_key target, time_point seen_at);

    /** Adds what another host has seen.
        @returns whether that was new */
    bool merge(const input_record& other);

    /** The times of the crashes since the last completion, oldest first. */
    std::vector<time_point> uncleared_crashes() const;

    /** Number of failed probes since the last completion. */
    unsigned uncleared_probes() const;

    /** The newest crash, failed probe or completion. */
    time_point last_change() const;
};

/** The records of all inputs that were in use at crashed targets.

    An input is suspected of causing the crashes if targets crashed at several
    different times, or many targets crashed, while they began to respond to
    requests with this input, and no such request was completed in between. A
    suspected input is probed with one request; after each probe that fails, the
    time until the next one doubles. A completed request ends the suspicion, and
    so does the absence of crashes for a long time.

    Crashes at about the same time, such as the loss of an availability zone,
    count as one time, since they accuse the inputs of all requests in flight.
    Fewer crashes make a whole request suspected than a block: a block is shared
    by many requests, of which some are in flight at each crash, while a request
    is seldom at a target that crashes for another reason, and seldom twice.
*/
class crash_evidence
{
public:
    /** Inputs beyond this number displace those with the fewest crashes. */
    static constexpr std::size_t max_inputs = 512;

    /** Records that a target crashed while it began to respond to a request.
        @param inputs     those of the request
        @param was_probe  whether the request was sent to probe these inputs */
    void record_crash(incarnation_key target,
                      const std::vector<input_key>& inputs, bool was_probe,
                      time_point now);

    /** Records that a request with these inputs completed.
        @returns whether a crash was recorded for any of them */
    bool record_completion(const std::vector<input_key>& inputs,
                           time_point now);

    /** Adds a record of another host.
        @returns whether it contained anything new */
    bool merge(input_key input, const input_record& other, time_point now);

    bool is_suspected(input_key input, time_point now) const;

    /** Whether a suspected input may be probed now. */
    bool is_probe_due(input_key input, time_point now) const;

    /** When a suspected input may be probed; the latest time if it is unknown.
     */
    time_point probe_due_at(input_key input) const;

    /** The record of an input, or null. */
    const input_record* find(input_key input) const;

    /** All records, by input. */
    const std::map<input_key, input_record>& records() const;

    /** Hosts with the same evidence have the same digest. */
    std::uint64_t digest() const;

    /** Removes the records that have not changed for a long time. */
    void remove_expired(time_point now);

private:
    static bool is_expired(const input_record& record, time_point now);
    static time_point next_probe_at(const input_record& record);
    void limit_size();

    std::map<input_key, input_record> records_;
};

} // namespace hibiscusferry

#endif
