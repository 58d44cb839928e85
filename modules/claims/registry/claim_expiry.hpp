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

/** Prefix of the rows that list finished claims by minute:
    claim_expiry/MINUTE/ROW_KEY, written together with the outcome. */
constexpr const char* expiry_prefix = "claim_expiry/";

/** Key of the row that lists a claim finished at `since`. */
std::string expiry_key(std::chrono::seconds since, const std::string& row_key);

/** Deletes finished claims after their retention, a bounded group at a time.

    The host that does it reads the first page of expiry_prefix (`page_size`
    rows), gives it to deletions(), commits what comes back, and gives the
    receipt to remaining() until nothing comes back. A claim whose row has
    changed since it was listed is left alone. A lost answer needs no
    settling: the next page shows what is left.
*/
class claim_expiry
{
public:
    static constexpr std::size_t page_size = 100;

    explicit claim_expiry(std::chrono::seconds retention);

    /** The deletions due for a page, or nothing.
        @param wall_time  since the epoch */
    std::optional<table_transaction>
    deletions(const std::vector<table_row>& page,
              std::chrono::seconds wall_time) const;

    /** What is left to commit after a conflict: the same without the claims
        that have changed, whose old listing is deleted all the same. */
    static std::optional<table_transaction>
    remaining(const table_transaction& transaction,
              const commit_receipt& receipt);

private:
    std::chrono::seconds retention_;
};

} // namespace hibiscusferry

#endif
