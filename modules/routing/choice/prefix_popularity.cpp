#include "routing/choice/prefix_popularity.hpp"

namespace hibiscusferry
{

prefix_popularity::prefix_popularity()
    : counts_(slot_count, 0)
{
}

double prefix_popularity::count(std::uint64_t prefix)
{
    if (total_ >= window)
        halve();
    ++total_;
    std::uint16_t& slot = counts_[prefix % slot_count];
    const double before = slot;
    ++slot;
    return before / (total_ + prior);
}

void prefix_popularity::halve()
{
    for (std::uint16_t& slot : counts_)
        slot /= 2;
    total_ /= 2;
}

} // namespace hibiscusferry
