#include "routing/targets/target_subset.hpp"

#include <algorithm>
#include <map>

namespace hibiscusferry
{

namespace
{

struct hashed_item
{
    std::uint64_t hash = 0;
    std::size_t index = 0;
};

/** Assigns the items to cells of equal size. In the order of their hashes, each
    item is assigned to the first cell in its rendezvous ranking that is not
    full.

    @param cells receives the cell of each item, at the item's `index`
*/
void assign_to_cells(std::vector<hashed_item> items, std::size_t cell_count,
                     std::vector<std::size_t>& cells)
{
    std::sort(items.begin(), items.end(),
              [](const hashed_item& left, const hashed_item& right)
              { return left.hash < right.hash; });
    const std::size_t capacity = (items.size() + cell_count - 1) / cell_count;
    std::vector<std::size_t> cell_sizes(cell_count, 0);
    for (const hashed_item& item : items)
    {
        std::size_t chosen = cell_count;
        std::uint64_t greatest_weight = 0;
        for (std::size_t cell = 0; cell < cell_count; ++cell)
        {
            const std::uint64_t weight = rendezvous_weight(item.hash, cell);
            if (cell_sizes[cell] < capacity &&
                (chosen == cell_count || weight > greatest_weight))
            {
                greatest_weight = weight;
                chosen = cell;
            }
        }
        ++cell_sizes[chosen];
        cells[item.index] = chosen;
    }
}

std::size_t cell_of_router(const std::vector<std::string>& routers,
                           const std::string& own_id, std::size_t cell_count)
{
    std::vector<hashed_item> items;
    std::size_t own_index = routers.size();
    for (std::size_t index = 0; index < routers.size(); ++index)
    {
        items.push_back({stable_hash(routers[index]), index});
        if (routers[index] == own_id)
            own_index = index;
    }
    if (own_index == routers.size())
        items.push_back({stable_hash(own_id), own_index});
    std::vector<std::size_t> cells(items.size());
    assign_to_cells(std::move(items), cell_count, cells);
    return cells[own_index];
}

} // namespace

std::vector<std::size_t>
choose_target_subset(const std::vector<std::string>& routers,
                     const std::string& own_id,
                     const std::vector<target_address>& targets,
                     std::size_t extra_cells, const subset_settings& settings)
{
    const std::size_t cell_count = std::max<std::size_t>(
        1,
        targets.size() / std::max<std::size_t>(1, settings.targets_per_router));
    std::map<std::string, std::vector<hashed_item>> by_zone;
    for (std::size_t index = 0; index < targets.size(); ++index)
    {
        by_zone[targets[index].availability_zone].push_back(
            {stable_hash(targets[index].id), index});
    }
    std::vector<std::size_t> cells(targets.size());
    for (auto zone = by_zone.begin(); zone != by_zone.end(); ++zone)
        assign_to_cells(std::move(zone->second), cell_count, cells);

    const std::size_t own_cell = cell_of_router(routers, own_id, cell_count);
    std::vector<std::size_t> subset;
    for (std::size_t index = 0; index < targets.size(); ++index)
    {
        const std::size_t distance =
            (cells[index] + cell_count - own_cell) % cell_count;
        if (distance <= extra_cells)
            subset.push_back(index);
    }
    return subset;
}

} // namespace hibiscusferry
