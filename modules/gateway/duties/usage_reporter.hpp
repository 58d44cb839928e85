#ifndef HIBISCUSFERRY_GATEWAY_DUTIES_USAGE_REPORTER_HPP
#define HIBISCUSFERRY_GATEWAY_DUTIES_USAGE_REPORTER_HPP

#include "gateway/protocol/duty_protocol.hpp"
#include "sharing/sharing.hpp"
#include "storage/storage.hpp"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Timing of the reports, derived from the settings of the duty. */
struct usage_report_timing
{
    std::chrono::milliseconds window{5000};
    /** Time after the end of a window at which its report is due. */
    std::chrono::milliseconds due{10000};
};

/** Decides when the usage of a window is recorded and sent, at the host that
    holds the authority.

    The receiver must never get two different reports of one window, from
    whichever holder. Therefore a report is written to a row of the window
    before it is sent, under the conditions that the row does not exist and that
    this host has not been replaced as the holder. Only what is in the row is
    sent, byte for byte, by this holder and by its successors.

    Answers hosts that die or report late, holders that are lost at any step,
    lost responses of the store and of the receiver, and a store that forgets
    its last commits. */
class usage_reporter
{
public:
    /** How a window is merged from the reports of the hosts. */
    class source
    {
    public:
        virtual ~source() = default;

        /** Number of live hosts whose final counts are missing. */
        virtual std::size_t missing_hosts(std::uint64_t window) const = 0;
        virtual workspace_counts merge(std::uint64_t window) const = 0;
    };

    /** The state of the fleet at a call. */
    struct situation
    {
        time_point now{};
        /** The time on which the hosts agree. */
        fleet_time agreed_time{0};
        /** Changes with each term of this host as the holder; none while it may
            not begin to act. */
        std::optional<std::uint64_t> term;
        /** Whether no host has held the authority before this term. */
        bool is_first_holder = false;
        /** The conditions under which this host has not been replaced. */
        std::vector<row_condition> replacement_conditions;
        /** The era of the store, and when it began; none in its first one. */
        std::uint64_t era = 0;
        std::optional<fleet_time> era_began_at;
    };

    /** What has to be done now. */
    struct step
    {
        /** Read the rows with row_prefix, and call rows_read(). */
        bool reads_rows = false;
        /** Read only rows after this one; empty for all. */
        std::string after_row;
        /** Commit this, and call commit_finished(). */
        std::optional<table_transaction> commit;
        /** Send this body, if the host still holds the authority, and call
            call_finished(). */
        std::optional<std::string> body;
        std::uint64_t window = 0;
    };

    static constexpr const char* row_prefix = "usage/";

    usage_reporter(const usage_report_timing& timing,
                   const duty_protocol& protocol, const source& counts);

    /** @returns at most one thing to do; to be called again when it is done,
                 and every 100 ms or so */
    step next_step(const situation& current);

    void rows_read(const result<std::vector<table_row>>& rows, time_point now);
    void commit_finished(const result<commit_receipt>& receipt, time_point now);
    /** @param outcome  none if it is not known whether the call arrived */
    void call_finished(std::optional<duty_result> outcome, time_point now);

    /** Hosts need not report windows before this one any more. */
    std::uint64_t first_open_window() const;

    /** The number of live hosts that were missing when the last window was
        recorded. */
    std::size_t last_missing_hosts() const;

private:
    struct pending_report
    {
        std::string body;
        time_point next_send_at{};
        std::chrono::milliseconds backoff{0};
    };
    enum class activity
    {
        idle,
        reading,
        committing,
        calling
    };

    void begin_term(const situation& current);
    bool is_ready(std::uint64_t window, const situation& current) const;
    bool was_reported_before(std::uint64_t window,
                             const situation& current) const;
    step record(std::uint64_t window, const situation& current);
    step send(const situation& current);
    std::uint64_t window_of(fleet_time time) const;
    fleet_time end_of(std::uint64_t window) const;
    static std::string key_of(std::uint64_t window);
    void add_pending(std::uint64_t window, const std::string& body);

    usage_report_timing timing_;
    const duty_protocol& protocol_;
    const source& counts_;
    activity activity_ = activity::idle;
    /** The term for which the rows were read. */
    std::optional<std::uint64_t> term_;
    time_point term_began_at_{};
    bool has_read_rows_ = false;
    /** The first window that has no row as far as this host knows. */
    std::uint64_t next_window_ = 0;
    /** The window that is being recorded or sent. */
    std::uint64_t current_window_ = 0;
    std::string current_body_;
    std::map<std::uint64_t, pending_report> pending_;
    /** The recorded reports that this process knows, from this and from earlier
        terms. */
    std::map<std::uint64_t, std::string> recorded_;
    time_point retry_at_{};
    std::size_t last_missing_hosts_ = 0;
};

} // namespace hibiscusferry

#endif
