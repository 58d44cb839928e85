#ifndef HIBISCUSFERRY_AUTHORITY_LEASE_LEASE_HOLDER_HPP
#define HIBISCUSFERRY_AUTHORITY_LEASE_LEASE_HOLDER_HPP

#include "authority/lease/lease_record.hpp"
#include "authority/lease/regional_leases.hpp"
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

/** Timing parameters of a lease. */
struct lease_settings
{
    /** The duration of the lease after each renewal. */
    std::chrono::milliseconds term{6000};
    /** The interval between renewals. */
    std::chrono::milliseconds renewal_period{2000};
    /** The interval at which a candidate reads the lease row. */
    std::chrono::milliseconds watch_period{1000};
    /** The delay before a write without a response is sent again. */
    std::chrono::milliseconds retry_period{500};
    /** The additional delay before acquisition for each rank below the first
        candidate. */
    std::chrono::milliseconds rank_delay{400};
    /** The maximum difference between the clock rates of two hosts, in
        percent. */
    std::uint32_t clock_drift_percent = 2;
    /** The holder stops issuing orders this long before its term expires. */
    std::chrono::milliseconds send_margin{250};
    /** The number of highest-ranked hosts that read the row. */
    std::size_t candidates = 3;
};

/** A change in the ownership of the lease. */
enum class lease_change
{
    none,
    acquired, ///< this process became the holder, with a new fencing number
    lost,     ///< another process became the holder
    released  ///< this process released the lease voluntarily
};

/** The actions the caller has to perform after an event. */
struct lease_actions
{
    /** Commit this transaction and pass the result to commit_finished(). */
    std::optional<table_transaction> commit;
    /** Read the row key() and pass the result to row_read(). For a lease that
        replaces others, read all rows of leases and pass them to rows_read().
     */
    bool read = false;
    lease_change change = lease_change::none;
};

/** The participation of one process in the lease of one service and region.

    The hosts are ranked for each lease by rendezvous hashing, so that leases
    are distributed over the hosts and only the highest-ranked ones read a
    lease's row. A candidate that has observed the row unchanged for the whole
    term, measured with its own clock, acquires the lease by a conditional write
    with the next fencing number. Hosts never exchange clock readings.

    The holder's term starts when it sends the renewal, not when the response
    arrives. Call may_act() immediately before sending each order. Fencing
    numbers cover the interval between that check and the arrival of the order.

    See Gray and Cheriton, "Leases", 1989, and, for fencing numbers (there
    called sequencers), Burrows, "The Chubby lock service", 2006.
*/
class lease_holder
{
public:
    /** @param identifiers the source of write ids; must outlive the object */
    lease_holder(const std::string& region, const std::string& service,
                 process_identity self, const lease_settings& settings,
                 identifier_source& identifiers);

    /** Makes this lease replace those of single regions. To be called before
       the first event. */
    void replace(regional_leases regions);

    // =================================================================
    // Events

    /** Adds a region whose lease this one replaces. */
    void add_region(const std::string& region);

    /** Sets the ids of the live entry hosts according to membership, including
        this host. */
    void set_live_hosts(const std::vector<std::string>& hosts);

    /** Sets the era of the store. A new era means that the store has lost its
        latest commits, possibly including the lease of this or another process.
        The holder then gives up the lease, and no candidate acquires it before
        the term of any former holder has expired. */
    lease_actions store_era_seen(std::uint64_t era, time_point now);

    /** Must be called at least every 100 ms. */
    lease_actions tick(time_point now);

    /** Passes in the result of a requested read. */
    lease_actions row_read(const result<table_row>& row, time_point now);

    /** Passes in the rows of all leases, for a lease that replaces others. */
    lease_actions rows_read(const result<std::vector<table_row>>& rows,
                            time_point now);

    /** Passes in the result of a requested commit. */
    lease_actions commit_finished(const std::string& write_id,
                                  const result<commit_receipt>& response,
                                  time_point now);

    /** Releases the lease for a planned shutdown and stops competing for it.
        may_act() returns false at once; is_settled() returns true when the row
        has been updated too. */
    lease_actions release(time_point now);

    /** A peer announced that it released the lease. The row is read
        immediately. */
    lease_actions release_announced(time_point now);

    /** A peer reported a fencing number of this lease. A number greater than
        this process's own means that another process is the holder. */
    lease_actions fencing_number_seen(std::uint64_t fencing_number);

    // =================================================================
    // State

    /** Returns true if an order may be sent now. */
    bool may_act(time_point now) const;

    /** Returns true if this process is the holder in its local view, even if
        its term has lapsed. */
    bool is_holder() const;

    /** Returns true if no write of this object can still take effect. */
    bool is_settled() const;

    /** Returns true if the lease had been released voluntarily before this
        process acquired it, so that the former holder had already stopped
        acting. */
    bool acquired_after_release() const;

    /** The former holder if it did not release the lease; otherwise the host is
        empty. */
    const process_identity& former_holder() const;

    /** The fencing number of this holder. Valid only while is_holder().
        Numbers of a later era of the store are greater than all numbers of the
        eras before, including those whose record the store has lost. */
    std::uint64_t fencing_number() const;

    /** Returns true if the fencing number is the first one ever assigned, so
        that no former holder can exist. Valid only while is_holder(). */
    bool is_first_holder() const;

    /** The version of the row fence_key(), on which every write of an order row
        is conditional. Valid only while is_holder(). */
    row_version fence_version() const;

    /** Hold as long as this process has not been replaced as the holder. Valid
        only while is_holder(). */
    std::vector<row_condition> replacement_conditions() const;

    /** The holder according to the last observed rows. */
    const process_identity& observed_holder() const;

    /** The position of this host in the ranking; 0 is the first candidate. */
    std::size_t rank() const;

    std::string key() const;

private:
    lease_actions acquire(time_point now);
    lease_actions renew(time_point now);
    lease_actions submit(lease_record record, bool new_holder, time_point now);
    lease_change write_committed(time_point now);
    lease_change write_rejected(time_point now);
    void observe(const lease_record& record, row_version version,
                 time_point now);
    void enter_era(std::uint64_t era, time_point now);
    /** The record of the replaced leases under which a process of a former
        version may act; null if there is none. */
    const lease_record* regional_record() const;
    bool is_candidate() const;
    bool can_acquire(time_point now) const;

    std::string region_;
    std::string service_;
    process_identity self_;
    lease_settings settings_;
    identifier_source& identifiers_;
    /** The leases that this one replaces; none if it replaces no others. */
    std::optional<regional_leases> regions_;

    std::size_t rank_ = std::numeric_limits<std::size_t>::max();
    bool retired_ = false;

    // The last observed state of the row.
    bool has_row_ = false;
    lease_record record_;
    row_version version_ = 0;
    std::uint64_t era_ = 0;
    /** The start of the era as observed by this process; none in the initial
        era of the store. */
    std::optional<time_point> era_entered_at_;
    time_point unchanged_since_;
    bool is_reading_ = false;
    time_point next_read_;

    // State of this process as the holder.
    bool is_holder_ = false;
    bool followed_release_ = false;
    process_identity former_holder_;
    row_version fence_version_ = 0;
    time_point term_start_;
    time_point next_renewal_;
    std::optional<settled_write> write_;
    lease_record pending_record_;
    /** The era in which `write_` was created. */
    std::uint64_t write_era_ = 0;
    bool is_acquiring_ = false;
};

} // namespace hibiscusferry

#endif
