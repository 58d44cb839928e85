#include "storage/table_store/memory_table.hpp"

namespace hibiscusferry
{

commit_receipt memory_table::commit(const table_transaction& transaction)
{
    commit_receipt receipt;
    receipt.era = era_;
    for (const row_condition& condition : transaction.conditions)
    {
        const result<table_row> current = read(condition.key);
        const bool holds = current
                               ? condition.version == current.value().version
                               : !condition.version.has_value();
        if (!holds)
        {
            receipt.conflicts.push_back(
                current ? current.value()
                        : table_row{condition.key, "", 0, era_});
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
    const auto row = rows_.find(key);
    if (row == rows_.end())
        return make_error_code(platform_error::not_found);
    table_row current = row->second;
    current.era = era_;
    return current;
}

void memory_table::restore(const memory_table& copy)
{
    rows_ = copy.rows_;
    last_version_ = copy.last_version_;
    ++era_;
}

std::uint64_t memory_table::era() const
{
    return era_;
}

std::vector<table_row> memory_table::scan(const std::string& prefix,
                                          const std::string& after,
                                          std::size_t limit) const
{
    std::vector<table_row> rows;
    auto row =
        after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
    while (row != rows_.end() && rows.size() < limit &&
           row->first.compare(0, prefix.size(), prefix) == 0)
    {
        rows.push_back(row->second);
        ++row;
    }
    return rows;
}

} // namespace hibiscusferry
