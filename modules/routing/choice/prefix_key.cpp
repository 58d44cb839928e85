#include "routing/choice/prefix_key.hpp"

#include "foundation/foundation.hpp"

namespace hibiscusferry
{

std::uint64_t prefix_key(std::string_view prompt)
{
    if (prompt.empty())
        return 0;
    const std::uint64_t hash = stable_hash(prompt.substr(0, prefix_key_bytes));
    return hash == 0 ? 1 : hash;
}

} // namespace hibiscusferry
