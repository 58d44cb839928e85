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

/** Deals the items to cells of equal size: in the order of their hashes,
    each goes to the first cell with a free place in its rendezvous order.
    @returns the cell of each item, at the item's `index` in `cells` */
void deal_to_cells(std::vector<hashed_item> items, std::size_t cell_count,
                   std::vector<std::size_t>& cells)
{
    std::sort(items.begin(), items.end(),
              [](const hashed_item& left, const hashed_item& right)
              { return left.hash < right.hash; });
    const std::size_t places = (items.size() + cell_count - 1) / cell_count;
    std::vector<std::size_t> taken(cell_count, 0);
    for (const hashed_item& item : items)
    {
        std::size_t chosen = cell_count;
        std::uint64_t greatest = 0;
        for (std::size_t cell = 0; cell < cell_count; ++cell)
        {
            const std::uint64_t weight = rendezvous_weight(item.hash, cell);
            if (taken[cell] < places &&
                (chosen == cell_count || weight > greatest))
            {
                greatest = weight;
                chosen = cell;
            }
        }
        ++taken[chosen];
        cells[item.index] = chosen;
    }
}

std::size_t cell_of_router(const std::vector<std::string>& routers,
                           const std::string& own_id, std::size_t cell_count)
{
    std::vector<hashed_item> items;
    std::size_t own = routers.size();
    for (std::size_t index = 0; index < routers.size(); ++index)
    {
        items.push_back({stable_hash(routers[index]), index});
        if (routers[index] == own_id)
            own = index;
    }
    if (own == routers.size())
        items.push_back({stable_hash(own_id), own});
    std::vector<std::size_t> cells(items.size());
    deal_to_cells(std::move(items), cell_count, cells);
    return cells[own];
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
        deal_to_cells(std::move(zone->second), cell_count, cells);

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
