#ifndef HIBISCUSFERRY_EXTRAS_SOAK_SEEDED_RANDOM_HPP
#define HIBISCUSFERRY_EXTRAS_SOAK_SEEDED_RANDOM_HPP

#include <chrono>
#include <cstdint>
#include <random>
#include <string>

namespace hibiscusferry::soak
{

/** A random source that depends on the seed of the run and on what it is used
    for, but not on the order in which threads run. */
class seeded_random
{
public:
    seeded_random(std::uint64_t seed, const std::string& purpose);

    /** Returns true with a probability. */
    bool chance(double probability);
    /** Both bounds are included. */
    int between(int low, int high);
    std::chrono::milliseconds between(std::chrono::milliseconds low,
                                      std::chrono::milliseconds high);

private:
    std::mt19937_64 engine_;
};

} // namespace hibiscusferry::soak

#endif
