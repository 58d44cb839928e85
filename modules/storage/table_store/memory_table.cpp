#include "storage/table_store/memory_table.hpp"

namespace hibiscusferry
{

commit_receipt memory_table::commit(const table_transaction& transaction)
{
    commit_receipt receipt;
    for (const row_condition& condition : transaction.conditions)
    {
        const result<table_row> present = read(condition.key);
        const bool holds = present
                               ? condition.version == present.value().version
                               : !condition.version.has_value();
        if (!holds)
        {
            receipt.conflicts.push_back(
                present ? present.value() : table_row{condition.key, "", 0});
        }
    }
    if (!receipt.conflicts.empty())
        return receipt;

    ++last_version_;
    for (const row_write& write : transaction.writes)
    {
        if (write.value)
            rows_[write.key] = {write.key, *write.value, last_version_};
        else
            rows_.erase(write.key);
    }
    receipt.committed = true;
    receipt.version = last_version_;
    return receipt;
}

result<table_row> memory_table::read(const std::string& key) const
{
    const auto found = rows_.find(key);
    if (found == rows_.end())
        return make_error_code(platform_error::not_found);
    return found->second;
}

std::vector<table_row> memory_table::scan(const std::string& prefix,
                                          const std::string& after,
                                          std::size_t limit) const
{
    std::vector<table_row> found;
    auto next =
        after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
    while (next != rows_.end() && found.size() < limit &&
           next->first.compare(0, prefix.size(), prefix) == 0)
    {
        found.push_back(next->second);
        ++next;
    }
    return found;
}

} // namespace hibiscusferry
