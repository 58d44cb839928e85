#ifndef HIBISCUSFERRY_AUTHORITY_LEASE_LEASE_HOLDER_HPP
#define HIBISCUSFERRY_AUTHORITY_LEASE_LEASE_HOLDER_HPP

#include "authority/lease/lease_record.hpp"
#include "authority/store/settled_write.hpp"
#include "storage/storage.hpp"
#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Times of a lease. */
struct lease_settings
{
    /** How long a lease lasts after each renewal. */
    std::chrono::milliseconds term{6000};
    /** Time between renewals. */
    std::chrono::milliseconds renewal_period{2000};
    /** Time between a candidate's looks at the row. */
    std::chrono::milliseconds watch_period{1000};
    /** Time before a write without an answer is sent again. */
    std::chrono::milliseconds retry_period{500};
    /** Further wait of each candidate behind the first one. */
    std::chrono::milliseconds rank_delay{400};
    /** Greatest difference in the rates of two hosts' clocks. */
    std::uint32_t clock_drift_percent = 2;
    /** The holder stops acting this long before its term ends. */
    std::chrono::milliseconds send_margin{250};
    /** How many hosts of the line look at the row. */
    std::size_t candidates = 3;
};

/** What happened to the lease. */
enum class lease_change
{
    none,
    acquired, ///< this process is the holder, with a new fencing number
    lost,     ///< another process is the holder
    released  ///< this process has given the lease up, as planned
};

/** What the caller does after an event. */
struct lease_actions
{
    /** Commit this and answer with commit_finished(). */
    std::optional<table_transaction> commit;
    /** Read the row key() and answer with row_read(). */
    bool read = false;
    lease_change change = lease_change::none;
};

/** One process's part in the lease of one service and region.

    The hosts are put in line for each lease by rendezvous hashing, so that
    leases are spread and only the first few hosts of a line read its row. A
    candidate that has seen the row unchanged for the whole term, on its own
    clock, takes the lease with a conditional write and the next fencing
    number. No clock reading ever passes from one host to another.

    The holder counts its term from before it sent the renewal. Ask may_act()
    right before every order leaves; what happens between that question and
    the sending is for the fencing number to stop.

    As in Gray and Cheriton, "Leases", 1989, with the fencing numbers of
    Burrows, "The Chubby lock service", 2006 (there: sequencers).
*/
class lease_holder
{
public:
    /** @param identifiers  for write ids; must outlive the object */
    lease_holder(const std::string& region, const std::string& service,
                 process_identity self, const lease_settings& settings,
                 identifier_source& identifiers);

    // =================================================================
    // Events

    /** The live entry hosts' ids as membership sees them, self included. */
    void set_live_hosts(const std::vector<std::string>& hosts);

    /** To be called at least every 100 ms. */
    lease_actions tick(time_point now);

    /** The answer to a read that was asked for. */
    lease_actions row_read(const result<table_row>& row, time_point now);

    /** The answer to a commit that was asked for. */
    lease_actions commit_finished(const std::string& write_id,
                                  const result<commit_receipt>& answer,
                                  time_point now);

    /** Gives the lease up for a planned stop, and takes it no more. Acting
        ends at once; is_settled() tells when the row says so too. */
    lease_actions release(time_point now);

    /** A peer says that it released the lease: the row is read at once. */
    lease_actions release_announced(time_point now);

    /** A peer shows a fencing number of this lease: a greater one than the
        own means that another process is the holder. */
    lease_actions fencing_number_seen(std::uint64_t fencing_number);

    // =================================================================
    // State

    /** Whether an order may leave now. */
    bool may_act(time_point now) const;

    /** Whether the process has the lease as far as it knows, lapsed or
        not. */
    bool is_holder() const;

    /** Whether no write of this object can still take effect. */
    bool is_settled() const;

    /** Whether the lease that was taken had been released as planned, so
        that its former holder had stopped acting. */
    bool acquired_after_release() const;

    /** The former holder when it did not release; an empty host if none. */
    const process_identity& former_holder() const;

    /** Valid while is_holder(). */
    std::uint64_t fencing_number() const;

    /** The version of fence_key()'s row; a condition of every order row's
        write. Valid while is_holder(). */
    row_version fence_version() const;

    /** The holder as last seen in the row, for status pages. */
    const process_identity& observed_holder() const;

    /** The place in line: 0 is first. */
    std::size_t rank() const;

    std::string key() const;

private:
    lease_actions take(time_point now);
    lease_actions renew(time_point now);
    lease_actions submit(lease_record record, bool new_holder, time_point now);
    lease_change write_committed(time_point now);
    lease_change write_rejected(time_point now);
    void observe(const lease_record& record, row_version version,
                 time_point now);
    bool is_candidate() const;
    bool is_takeable(time_point now) const;

    std::string region_;
    std::string service_;
    process_identity self_;
    lease_settings settings_;
    identifier_source& identifiers_;

    std::size_t rank_ = std::numeric_limits<std::size_t>::max();
    bool retired_ = false;

    // What is known of the row.
    bool row_known_ = false;
    lease_record record_;
    row_version version_ = 0;
    time_point unchanged_since_;
    bool reading_ = false;
    time_point next_read_;

    // The own holding.
    bool holder_ = false;
    bool followed_release_ = false;
    process_identity former_holder_;
    row_version fence_version_ = 0;
    time_point granted_from_;
    time_point next_renewal_;
    std::optional<settled_write> write_;
    lease_record written_;
    bool written_as_new_holder_ = false;
};

} // namespace hibiscusferry

#endif
