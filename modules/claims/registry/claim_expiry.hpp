#ifndef HIBISCUSFERRY_CLAIMS_REGISTRY_CLAIM_EXPIRY_HPP
#define HIBISCUSFERRY_CLAIMS_REGISTRY_CLAIM_EXPIRY_HPP

#include "claims/record/claim_record.hpp"
#include "foundation/foundation.hpp"
#include "storage/storage.hpp"
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Key prefix of the rows that index completed claims by minute:
    claim_expiry/MINUTE/ROW_KEY. They are written in the same transaction as
    the outcome. */
constexpr const char* expiry_prefix = "claim_expiry/";

/** @returns the key of the row that lists a claim completed at `since` */
std::string expiry_key(std::chrono::seconds since, const std::string& row_key);

/** Deletes completed claims after their retention period, in batches of
    bounded size.

    The host that performs the deletion reads the first page of expiry_prefix
    (`page_size` rows), passes it to deletions() and commits the returned
    transaction. It passes the receipt to remaining() and commits the result
    until nothing is returned. A claim whose row has changed since it was
    listed is kept. A lost response needs no special handling, because the
    next page shows the claims that remain.
*/
class claim_expiry
{
public:
    static constexpr std::size_t page_size = 100;

    explicit claim_expiry(std::chrono::seconds retention);

    /** Selects the claims of a page whose retention period has ended.
        @param wall_time  time since the epoch
        @returns a transaction that deletes them; nullopt if there are none */
    std::optional<table_transaction>
    deletions(const std::vector<table_row>& page,
              std::chrono::seconds wall_time) const;

    /** Removes the claims that have changed from a conflicting transaction.
        Their outdated index entries are still deleted.
        @returns the transaction to commit next; nullopt if none is needed */
    static std::optional<table_transaction>
    remaining(const table_transaction& transaction,
              const commit_receipt& receipt);

private:
    std::chrono::seconds retention_;
};

} // namespace hibiscusferry

#endif
