#ifndef HIBISCUSFERRY_ADMISSION_SHARE_SHARE_AGGREGATOR_HPP
#define HIBISCUSFERRY_ADMISSION_SHARE_SHARE_AGGREGATOR_HPP

#include "admission/limits/token_bucket.hpp"
#include "admission/share/demand_meter.hpp"
#include "admission/share/share_layout.hpp"
#include "admission/share/share_messages.hpp"
#include "foundation/foundation.hpp"
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hibiscusferry
{

/** Messages that an aggregator wants sent. */
struct share_messages
{
    std::vector<addressed_report> reports;
    std::vector<addressed_response> answers;
};

/** Sums the usage of the limits whose relay or home this host is.

    As a relay it adds up what the hosts of its row report, tells the home,
    and passes the home's answers on to them. As a home it adds up the rows
    and answers with the demand over all hosts. It needs no documents: each
    host applies its own limits to the demand.

    Answers go to reporters that ask, and while any of them asks to all that
    report the same limit: when the demand is above a limit, some host sees
    more than its even part of it, and asks. A home that reaches no majority
    of the hosts gives no answer. All state is soft; a new home
    answers after `settling`. Reports and answers wait when their byte budget
    is used up. Used from one thread.
*/
class share_aggregator
{
public:
    /** Call tick() this often. */
    static constexpr std::chrono::seconds tick_interval{1};
    /** How often a relay reports a limit to its home. */
    static constexpr std::chrono::seconds report_interval{2};
    /** A home answers after it has heard reports for this long. */
    static constexpr std::chrono::seconds settling{4};
    /** Least and usual time between answers about a limit to a reporter;
        the least if the demand has changed by more than `much`. */
    static constexpr std::chrono::seconds least_repeat{2};
    static constexpr std::chrono::seconds usual_repeat{4};
    static constexpr double much = 0.1;
    /** A question counts for this long. */
    static constexpr std::chrono::seconds question_lifetime{10};
    /** A reporter that was silent for this long is forgotten. */
    static constexpr std::chrono::seconds forget_after{60};
    /** Bytes a second for reports, and for answers, with transport. */
    static constexpr double bytes_per_second = 400;

    /** @param host  this host's id
        @param incarnation  differs from that before a restart */
    share_aggregator(std::string host, std::uint64_t incarnation,
                     time_point now);

    /** A report arrived, from another host or this one. */
    void report(const usage_report& report, time_point now);

    /** An answer `to_relay` arrived. */
    void answer(const demand_response& answer, time_point now);

    /** What to send now; messages to this host itself are to be handed back
        to it at once. */
    share_messages tick(const share_layout& layout, time_point now);

    /** The demand of a limit whose home this is; 0 if not known. */
    double demand(share_key key, time_point now) const;

    /** Limits that this host holds state for. */
    std::size_t size() const;

private:
    struct reporter
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t offered = 0;
        time_point reported;
        time_point answered;
        double answered_demand = -1;
    };

    using reporters = std::unordered_map<std::string, reporter>;

    struct key_state
    {
        /** Hosts of this row. */
        reporters hosts;
        std::uint64_t offered_by_hosts = 0;
        /** Reported to the home so far. */
        std::uint64_t reported = 0;
        time_point reported_at;
        std::optional<time_point> asked;
        /** What the home has answered. */
        std::optional<double> answered;
        time_point answered_at;
        /** Relays, when this is the home. */
        reporters relays;
        std::optional<demand_meter> meter;
    };

    struct due_answer
    {
        const std::string* to = nullptr;
        bool to_relay = false;
        demand_entry entry;
        reporter* state = nullptr;
    };

    static std::uint64_t growth(const usage_report& report,
                                const usage_entry& entry, reporters& from,
                                time_point now);
    static bool is_asked(const key_state& state, time_point now);
    static void collect_due(share_key key, double demand, bool to_relay,
                            reporters& to, time_point now,
                            std::vector<due_answer>& due);
    key_state& state_of(share_key key);
    void sum_own_row(const share_layout& layout, time_point now);
    std::vector<addressed_report> report_up(const share_layout& layout,
                                            time_point now);
    std::vector<addressed_response> answer_down(const share_layout& layout,
                                                time_point now);
    std::vector<addressed_response> send_due(std::vector<due_answer>& due,
                                             time_point now);
    void forget_silent(time_point now);

    std::string host_;
    std::uint64_t incarnation_;
    std::uint64_t sequence_ = 0;
    token_bucket report_budget_;
    token_bucket answer_budget_;
    std::unordered_map<share_key, key_state> keys_;
    time_point swept_;
};

} // namespace hibiscusferry

#endif
