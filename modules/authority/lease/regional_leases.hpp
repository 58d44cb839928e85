#ifndef HIBISCUSFERRY_AUTHORITY_LEASE_REGIONAL_LEASES_HPP
#define HIBISCUSFERRY_AUTHORITY_LEASE_REGIONAL_LEASES_HPP

#include "authority/lease/lease_record.hpp"
#include "storage/storage.hpp"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** The leases of single regions that the lease of the whole fleet has replaced.

    Former versions of the program compete for the lease of their region, and
    may run during an upgrade and after a downgrade. The holder of the fleet's
    lease therefore writes the rows of all regions together with its own:

    - The row of one region stays open. It is held and released together with
      the fleet's lease, so that a former version can succeed the holder.
    - All other rows are closed, with a term that never ends, so that there is
      only one holder among former versions too.

    Which region is open is read from the rows, since hosts may disagree on the
    regions that exist. All rows have the same fencing number, which is greater
    than all numbers before.
*/
class regional_leases
{
public:
    /** @param service  the name of the lease in each region */
    explicit regional_leases(std::string service);

    /** Adds a region whose hosts may run a former version. */
    void add_region(const std::string& region);

    /** Sets the rows of all leases in the store, of whatever service.
        @returns whether a row that a former version may hold has changed */
    bool observe(const std::vector<table_row>& rows);

    /** Forgets the observed rows, but not the regions. */
    void forget_rows();

    /** The greatest fencing number of all regions; 0 for none. */
    std::uint64_t fencing_number() const;

    /** The record with the greatest fencing number among the rows that are open
        and not released; null if there is none. */
    const lease_record* held_record() const;

    /** Adds the rows to a transaction that acquires, renews or releases the
        fleet's lease.
        @param record          the record of the fleet's lease
        @param is_acquisition  whether the transaction changes the holder */
    void append_to(table_transaction& transaction, const lease_record& record,
                   bool is_acquisition);

    /** Records that the last transaction took effect.
        @param version  the version of the written rows */
    void transaction_committed(row_version version);

    /** Holds as long as no former version has replaced the holder of the
       fleet's lease. */
    row_condition replacement_condition() const;

private:
    struct regional_row
    {
        lease_record record;
        /** None if the row does not exist. */
        std::optional<row_version> version;
    };

    /** The region whose row is to stay open. */
    std::string choose_open_region() const;

    std::string service_;
    /** By region. */
    std::map<std::string, regional_row> rows_;
    /** The region whose row the holder keeps open. */
    std::string open_region_;
    row_version open_fence_version_ = 0;
    /** The records of the transaction that has not been settled. */
    std::map<std::string, lease_record> pending_records_;
    bool is_pending_acquisition_ = false;
};

} // namespace hibiscusferry

#endif
