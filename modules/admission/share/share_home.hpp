#ifndef HIBISCUSFERRY_ADMISSION_SHARE_SHARE_HOME_HPP
#define HIBISCUSFERRY_ADMISSION_SHARE_SHARE_HOME_HPP

#include "admission/share/share_messages.hpp"
#include "foundation/foundation.hpp"
#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace hibiscusferry
{

/** Sums the usage of the customers whose home this host is.

    It needs no settings and no limits: it answers with the demand over all
    hosts, and each host applies its own document. Answers go to hosts that
    asked for one and, while any host asks, to all that report the same key:
    when the demand passes a limit, some host sees more than its even part of
    it and asks. State is soft; a new home has a demand to tell after
    `settling`. Used from one thread.
*/
class share_home
{
public:
    /** Time constant of the demand's running mean. */
    static constexpr std::chrono::seconds averaging{5};
    /** A new home answers only after it has heard reports for this long. */
    static constexpr std::chrono::seconds settling{4};
    /** An answer is repeated after this time, or when it changes much. */
    static constexpr std::chrono::seconds repeat_after{4};
    static constexpr double much = 0.05;
    /** What has not been reported for this long is forgotten. */
    static constexpr std::chrono::seconds forget_after{60};

    /** Takes a report into account; lost, repeated and reordered ones do no
        harm. */
    void report(const usage_report& report, time_point now);

    /** The answers that are due, one for a host. Call every second.
        @param home  this host's id, put into the answers */
    std::vector<addressed_answer> answers(const std::string& home,
                                          time_point now);

    /** The demand of a key in weighted tokens a second; 0 if not known. */
    double demand(share_key key, time_point now) const;

    /** Keys that this home holds. */
    std::size_t size() const;

private:
    struct reporter
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t offered = 0;
        double answered_demand = -1;
        time_point answered_at;
        time_point reported_at;
        bool answer_due = false;
    };

    struct key_state
    {
        /** Decayed sum of the offered tokens, as of `summed_at`. */
        double sum = 0;
        time_point summed_at;
        time_point first_report;
        /** When a host last asked for an answer. */
        time_point asked_at;
        bool asked = false;
        std::unordered_map<std::string, reporter> reporters;
    };

    static void apply(const usage_report& report, const usage_entry& entry,
                      key_state& state, time_point now);
    static double demand_of(const key_state& state, time_point now);
    void forget_old(time_point now);

    std::unordered_map<share_key, key_state> keys_;
    time_point swept_;
};

} // namespace hibiscusferry

#endif
