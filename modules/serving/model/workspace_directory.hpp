#ifndef HIBISCUSFERRY_SERVING_MODEL_WORKSPACE_DIRECTORY_HPP
#define HIBISCUSFERRY_SERVING_MODEL_WORKSPACE_DIRECTORY_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hibiscusferry
{

/** A customer whose callers present one of its keys. */
struct workspace
{
    std::string name;
    /** Replaces the rank of the route for requests of this workspace. */
    std::optional<unsigned> rank;
};

/** The workspaces of one version of the configuration, by key.

    Only digests of the keys are kept, so that a memory dump does not reveal
    them, and the duration of a look-up says nothing about a key. */
class workspace_directory
{
public:
    /** Adds a workspace with its keys. A key that was already added for another
        workspace identifies neither from then on.
        @returns the number of keys that another workspace has as well */
    std::size_t add(workspace entry, const std::vector<std::string>& keys);

    /** As add(), by the digests of the keys. */
    std::size_t add_digests(workspace entry,
                            const std::vector<std::string>& digests);

    /** The digest under which a key is kept. */
    static std::string digest_of(std::string_view key);

    /** The workspace that holds a key, or null. */
    const workspace* find(std::string_view key) const;

    const std::vector<workspace>& workspaces() const;

    /** The number of keys that identify a workspace. */
    std::size_t key_count() const;

private:
    std::vector<workspace> workspaces_;
    /** Positions in `workspaces_` by the digest of the key; none for a key of
        several workspaces. */
    std::unordered_map<std::string, std::optional<std::size_t>> by_digest_;
};

} // namespace hibiscusferry

#endif
