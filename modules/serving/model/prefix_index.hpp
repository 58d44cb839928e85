#ifndef HIBISCUSFERRY_SERVING_MODEL_PREFIX_INDEX_HPP
#define HIBISCUSFERRY_SERVING_MODEL_PREFIX_INDEX_HPP

#include "serving/model/fleet_configuration.hpp"
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace hibiscusferry
{

/** Finds the route with the longest prefix of a path, among the routes of one
    host.

    The prefixes are sorted, and each refers to the longest other one that it
    begins with. The longest prefix of a path is therefore the last one that is
    not after the path in that order, or one that it refers to. A lookup takes
    time that grows with the logarithm of the number of routes, and a new
    version of the index is made from the former one without sorting.

    The routes must outlive the index.
*/
class prefix_index
{
public:
    prefix_index() = default;

    /** @param routes  in order of preference, if several have the same prefix
     */
    explicit prefix_index(const std::vector<const route*>& routes);

    /** Returns the index without some of its routes and with others.
        @returns none if several routes have the same prefix, as their order is
                 not known */
    std::optional<prefix_index>
    changed(const std::vector<const route*>& removed,
            std::vector<const route*> added) const;

    /** The route with the longest prefix of the path, or null. */
    const route* find(std::string_view path) const;

    bool is_empty() const;

private:
    static constexpr std::uint32_t no_entry = UINT32_MAX;

    struct entry
    {
        std::string_view prefix;
        const route* target = nullptr;
        /** The longest other prefix that this one begins with. */
        std::uint32_t shorter = no_entry;
    };

    /** Sets what the entries refer to. */
    void link_entries();

    std::vector<entry> entries_;
    bool has_equal_prefixes_ = false;
};

} // namespace hibiscusferry

#endif
