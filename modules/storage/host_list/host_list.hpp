#ifndef HIBISCUSFERRY_STORAGE_HOST_LIST_HOST_LIST_HPP
#define HIBISCUSFERRY_STORAGE_HOST_LIST_HOST_LIST_HPP

#include "foundation/foundation.hpp"
#include "storage/errors/platform_error.hpp"
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** What a listed host is for. */
enum class host_kind
{
    entry,             ///< runs the system's own daemons
    model_server,      ///< a target that runs a model engine
    application_server ///< a target that runs a plain service
};

/** What the list says of a host. */
enum class host_state
{
    live,
    leaving
};

/** A host or target as listed. */
struct listed_host
{
    /** Unique over time: a host replaced under the same address has a new
        id. */
    std::string id;
    host_kind kind = host_kind::entry;
    host_state state = host_state::live;
    /** The service that a target belongs to; empty for entry hosts. */
    std::string service;
    std::string region;
    std::string availability_zone;
    /** IP number and port of the target, or of the controller's peer
        endpoint for an entry host. */
    std::string address;
    std::uint16_t port = 0;
};

/** One reading of the list. It may lag behind the truth by seconds. */
struct host_list_snapshot
{
    /** Grows with every change of the list. */
    std::uint64_t revision = 0;
    std::vector<listed_host> hosts;
};

/** The platform's lagging list of live and leaving hosts. */
class host_list
{
public:
    using read_handler = std::function<void(result<host_list_snapshot>)>;

    virtual ~host_list() = default;

    /** Reads the list as the platform now has it. */
    virtual void read(std::chrono::milliseconds time_limit,
                      read_handler handler) = 0;
};

} // namespace hibiscusferry

#endif
