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

/** The messages that an aggregator sends. */
struct share_messages
{
    std::vector<addressed_report> reports;
    std::vector<addressed_response> answers;
};

/** Aggregates the usage of the limits for which this host is a relay or the
    owner.

    A relay adds up the reports of the hosts in its row, reports the sum to the
    owner and forwards the owner's responses to the hosts. An owner adds up the
    rows and responds with the demand over all hosts. The aggregator needs no
    documents, because each host applies its own limits to the demand.

    While any reporter requests the demand of a limit, responses go to all
    reporters of that limit. This is sufficient because at least one host
    receives more than its even share, and requests the demand, whenever the
    demand is above the limit. An owner that cannot reach a majority of the
    hosts sends no responses. All state is soft; a new owner sends responses
    after `settling_time`. Reports and responses are delayed when their byte
    budget is used up. Used from one thread.
*/
class share_aggregator
{
public:
    /** Interval between calls of tick(). */
    static constexpr std::chrono::seconds tick_interval{1};
    /** Minimum interval between a relay's reports of a limit to its owner. */
    static constexpr std::chrono::seconds report_interval{2};
    /** An owner sends responses after it has received reports for this
        time. */
    static constexpr std::chrono::seconds settling_time{4};
    /** Minimum and usual interval between responses for a limit to a reporter.
        The minimum applies if the demand has changed by more than the fraction
        `min_relative_change`. */
    static constexpr std::chrono::seconds min_response_interval{2};
    static constexpr std::chrono::seconds usual_response_interval{4};
    static constexpr double min_relative_change = 0.1;
    /** Lifetime of a request for the demand. */
    static constexpr std::chrono::seconds demand_request_lifetime{10};
    /** The state of a reporter is deleted after this time without a report. */
    static constexpr std::chrono::seconds reporter_retention{60};
    /** Byte budget per second for reports, and the same for responses,
        including the transport overhead. */
    static constexpr double bytes_per_second = 400;

    /** @param host  this host's id
        @param incarnation  differs between runs of the process */
    share_aggregator(std::string host, std::uint64_t incarnation,
                     time_point now);

    /** Processes a report from another host or from this one. */
    void report(const usage_report& report, time_point now);

    /** Processes a response that is marked `to_relay`. */
    void answer(const demand_response& response, time_point now);

    /** Returns the messages to send now. The caller must pass messages for this
        host directly back to it. */
    share_messages tick(const share_layout& layout, time_point now);

    /** Returns the demand of a limit that this host owns; 0 if unknown. */
    double demand(share_key key, time_point now) const;

    /** Returns the number of limits for which this host holds state. */
    std::size_t size() const;

private:
    struct reporter
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t offered = 0;
        time_point reported;
        time_point last_response;
        double last_sent_demand = -1;
    };

    using reporters = std::unordered_map<std::string, reporter>;

    struct key_state
    {
        /** The hosts of this row. */
        reporters hosts;
        std::uint64_t offered_by_hosts = 0;
        /** The part of `offered_by_hosts` reported to the owner. */
        std::uint64_t reported = 0;
        time_point reported_at;
        std::optional<time_point> demand_requested_at;
        /** The demand in the owner's latest response. */
        std::optional<double> owner_demand;
        time_point owner_demand_at;
        /** The relays that report to this host if it is the owner. */
        reporters relays;
        std::optional<demand_meter> meter;
    };

    struct due_response
    {
        const std::string* to = nullptr;
        bool to_relay = false;
        demand_entry entry;
        reporter* state = nullptr;
    };

    static std::uint64_t record_increase(const usage_report& report,
                                         const usage_entry& entry,
                                         reporters& reporters_of_key,
                                         time_point now);
    static bool is_demand_requested(const key_state& state, time_point now);
    static void collect_due(share_key key, double demand, bool to_relay,
                            reporters& to, time_point now,
                            std::vector<due_response>& due);
    key_state& state_of(share_key key);
    void add_own_row(const share_layout& layout, time_point now);
    std::vector<addressed_report> report_to_owners(const share_layout& layout,
                                                   time_point now);
    std::vector<addressed_response>
    respond_to_reporters(const share_layout& layout, time_point now);
    std::vector<addressed_response> send_due(std::vector<due_response>& due,
                                             time_point now);
    void remove_silent_reporters(time_point now);

    std::string host_;
    std::uint64_t incarnation_;
    std::uint64_t sequence_ = 0;
    token_bucket report_budget_;
    token_bucket response_budget_;
    std::unordered_map<share_key, key_state> keys_;
    time_point last_cleanup_;
};

} // namespace hibiscusferry

#endif
