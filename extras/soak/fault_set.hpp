#ifndef HIBISCUSFERRY_EXTRAS_SOAK_FAULT_SET_HPP
#define HIBISCUSFERRY_EXTRAS_SOAK_FAULT_SET_HPP

#include <set>
#include <string>

namespace hibiscusferry::soak
{

/** The faults that a run injects, by name. */
class fault_set
{
public:
    /** @param names  separated by commas; "default" stands for all that the
                      pages of the platform allow, and "-NAME" removes one
        @param problem  the first unknown name; empty if there is none */
    fault_set(const std::string& names, std::string& problem);

    bool has(const std::string& name) const;
    /** All names, with those of the default set first. */
    static std::string known_names();

private:
    std::set<std::string> names_;
};

} // namespace hibiscusferry::soak

#endif
