#include "soak/fault_set.hpp"

#include <algorithm>
#include <sstream>
#include <vector>

namespace hibiscusferry::soak
{

namespace
{

/** Within PROTOCOL.md. */
const std::vector<std::string> default_names{
    // Targets, for one request.
    "reset", "cut", "refuse", "idless_refusal", "late_copy", "own_error",
    "own_promise", "early", "silence", "pause", "close", "unframed", "invalid",
    // Targets as a whole.
    "crash", "drain", "release",
    // Processes of the system.
    "stop", "stutter", "stop_all", "kill", "kill_all", "isolate", "term", "hup",
    // The platform.
    "config", "target_proxy", "store_proxy",
    // Callers.
    "leave", "large", "framing"};

/** Beyond what PROTOCOL.md says of targets, or not decided by it. */
const std::vector<std::string> extra_names{
    // A refusal without an id after another complete response.
    "idless_late",
    // X-Not-Executed on a response to a request that ran.
    "contradiction",
    // A restart under the same id with another software version.
    "same_id_release",
    // A response without a length that ends in good order before its end.
    "unframed_fin"};

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

fault_set::fault_set(const std::string& names, std::string& problem)
{
    std::istringstream input(names);
    for (std::string name; std::getline(input, name, ',');)
    {
        const bool is_removed = !name.empty() && name.front() == '-';
        const std::string base = is_removed ? name.substr(1) : name;
        if (name == "default")
            names_.insert(default_names.begin(), default_names.end());
        else if (!contains(default_names, base) && !contains(extra_names, base))
            problem = problem.empty() ? name : problem;
        else if (is_removed)
            names_.erase(base);
        else
            names_.insert(base);
    }
}

bool fault_set::has(const std::string& name) const
{
    return names_.count(name) > 0;
}

std::string fault_set::known_names()
{
    std::string text = "default, which is";
    for (const std::string& name : default_names)
        text += " " + name;
    text += "; further";
    for (const std::string& name : extra_names)
        text += " " + name;
    return text;
}

} // namespace hibiscusferry::soak
