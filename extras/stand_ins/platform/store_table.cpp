#include "stand_ins/platform/store_table.hpp"

#include <limits>

namespace hibiscusferry::stand_ins
{

namespace
{

constexpr std::size_t max_history_changes = 20000;

} // namespace

commit_receipt store_table::commit(const table_transaction& transaction)
{
    const commit_receipt receipt = rows_.commit(transaction);
    if (!receipt.committed)
        return receipt;
    version_ = receipt.version;
    for (const row_write& write : transaction.writes)
        history_.push_back(
            {{write.key, write.value.value_or(""), version_}, !write.value});
    while (history_.size() > max_history_changes)
    {
        history_start_ = history_.front().row.version;
        history_.pop_front();
    }
    return receipt;
}

std::vector<table_row> store_table::rows(const std::string& table,
                                         const std::string& from,
                                         const std::string& to,
                                         std::size_t limit) const
{
    const std::string prefix = table + "/";
    std::vector<table_row> matching_rows;
    for (const table_row& row :
         rows_.scan(prefix, "", std::numeric_limits<std::size_t>::max()))
    {
        const std::string name = row.key.substr(prefix.size());
        const bool is_match = name >= from && (to.empty() || name < to);
        if (is_match && matching_rows.size() < limit)
            matching_rows.push_back(row);
    }
    return matching_rows;
}

std::optional<std::vector<row_change>>
store_table::changes(const std::string& table, row_version after) const
{
    if (after < history_start_ || after > version_)
        return std::nullopt;
    const std::string prefix = table + "/";
    std::vector<row_change> changes;
    for (const row_change& change : history_)
    {
        const bool is_match =
            change.row.version > after &&
            change.row.key.compare(0, prefix.size(), prefix) == 0;
        if (is_match)
            changes.push_back(change);
    }
    return changes;
}

row_version store_table::version() const
{
    return version_;
}

void store_table::save()
{
    saved_rows_ = rows_;
    saved_version_ = version_;
}

void store_table::restore()
{
    rows_.restore(saved_rows_);
    version_ = saved_version_;
    clear_history();
}

std::uint64_t store_table::era() const
{
    return rows_.era();
}

void store_table::clear_history()
{
    history_.clear();
    history_start_ = version_;
}

} // namespace hibiscusferry::stand_ins
