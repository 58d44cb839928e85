#include "routing/choice/prefix_popularity.hpp"

namespace hibiscusferry
{

prefix_popularity::prefix_popularity()
    : counts_(places, 0)
{
}

double prefix_popularity::count(std::uint64_t prefix)
{
    if (total_ >= window)
        halve();
    ++total_;
    std::uint16_t& counted = counts_[prefix % places];
    const double before = counted;
    ++counted;
    return before / (total_ + prior);
}

void prefix_popularity::halve()
{
    for (std::uint16_t& counted : counts_)
        counted /= 2;
    total_ /= 2;
}

} // namespace hibiscusferry
