#include "sharing/replication/former_rows.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

constexpr std::size_t max_former_rows = 8;
/** Maximum size of all values but the latest. */
constexpr std::size_t max_former_bytes = 4U << 20;

} // namespace

void former_rows::add(table_row row)
{
    if (row.value.size() < min_value_bytes)
        return;
    bytes_ += row.value.size();
    rows_.push_back(std::move(row));
    while (rows_.size() > max_former_rows ||
           (rows_.size() > 1 && bytes_ > max_former_bytes))
    {
        bytes_ -= rows_.front().value.size();
        rows_.pop_front();
    }
}

const table_row* former_rows::find(const std::string& key,
                                   row_version version) const
{
    const auto row =
        std::find_if(rows_.rbegin(), rows_.rend(),
                     [&key, version](const table_row& former) {
                         return former.key == key && former.version <= version;
                     });
    return row == rows_.rend() ? nullptr : &*row;
}

void former_rows::clear()
{
    rows_.clear();
    bytes_ = 0;
}

} // namespace hibiscusferry
