#include "soak/seeded_random.hpp"

namespace hibiscusferry::soak
{

namespace
{

/** FNV-1a, which is the same on all machines. */
std::uint64_t stable_hash(std::uint64_t seed, const std::string& text)
{
    std::uint64_t hash = 14695981039346656037ULL ^ seed;
    for (const char letter : text + "#" + std::to_string(seed))
        hash = (hash ^ static_cast<unsigned char>(letter)) * 1099511628211ULL;
    return hash;
}

} // namespace

seeded_random::seeded_random(std::uint64_t seed, const std::string& purpose)
    : engine_(stable_hash(seed, purpose))
{
}

bool seeded_random::chance(double probability)
{
    return std::uniform_real_distribution<double>()(engine_) < probability;
}

int seeded_random::between(int low, int high)
{
    return std::uniform_int_distribution<int>(low, high)(engine_);
}

std::chrono::milliseconds seeded_random::between(std::chrono::milliseconds low,
                                                 std::chrono::milliseconds high)
{
    return std::chrono::milliseconds(
        between(static_cast<int>(low.count()), static_cast<int>(high.count())));
}

} // namespace hibiscusferry::soak
