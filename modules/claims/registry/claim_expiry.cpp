#include "claims/registry/claim_expiry.hpp"

#include <algorithm>
#include <set>

namespace hibiscusferry
{

namespace
{

constexpr std::size_t minute_digits = 10;

std::string expired_row_key(const std::string& listing_key)
{
    const std::size_t prefix = std::string(expiry_prefix).size();
    return listing_key.substr(
        std::min(listing_key.size(), prefix + minute_digits + 1));
}

} // namespace

std::string expiry_key(std::chrono::seconds since, const std::string& row_key)
{
    const std::chrono::minutes minute =
        std::chrono::duration_cast<std::chrono::minutes>(since);
    std::string digits = std::to_string(minute.count());
    digits.insert(0, minute_digits - std::min(minute_digits, digits.size()),
                  '0');
    return expiry_prefix + digits + "/" + row_key;
}

claim_expiry::claim_expiry(std::chrono::seconds retention)
    : retention_(retention)
{
}

std::optional<table_transaction>
claim_expiry::deletions(const std::vector<table_row>& page,
                        std::chrono::seconds wall_time) const
{
    table_transaction transaction;
    std::set<std::string> rows;
    // The retention period of every entry listed under an earlier minute has
    // ended.
    const std::string end = expiry_key(wall_time - retention_, "");
    for (const table_row& listing : page)
    {
        if (listing.key >= end || transaction.writes.size() >= 2 * page_size)
            break;
        // The index entry and the claim were written in one transaction, so
        // their versions are equal unless the claim was updated afterwards.
        const std::string row_key = expired_row_key(listing.key);
        // The second entry of a claim that is listed twice is left for the
        // next page.
        if (!rows.insert(row_key).second)
            break;
        transaction.conditions.push_back({row_key, listing.version});
        transaction.writes.push_back({row_key, std::nullopt});
        transaction.writes.push_back({listing.key, std::nullopt});
    }
    if (transaction.writes.empty())
        return std::nullopt;
    transaction.write_id = "expiry/" + page.front().key + "/" +
                           std::to_string(page.front().version);
    return transaction;
}

std::optional<table_transaction>
claim_expiry::remaining(const table_transaction& transaction,
                        const commit_receipt& receipt)
{
    if (receipt.committed || receipt.conflicts.empty())
        return std::nullopt;
    const auto has_changed = [&receipt](const std::string& key)
    {
        return std::any_of(receipt.conflicts.begin(), receipt.conflicts.end(),
                           [&key](const table_row& row)
                           { return row.key == key; });
    };
    table_transaction rest;
    rest.write_id = transaction.write_id + "r";
    for (const row_condition& condition : transaction.conditions)
    {
        if (!has_changed(condition.key))
            rest.conditions.push_back(condition);
    }
    for (const row_write& write : transaction.writes)
    {
        if (!has_changed(write.key))
            rest.writes.push_back(write);
    }
    return rest;
}

} // namespace hibiscusferry
