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

/** The role of a listed host. */
enum class host_kind
{
    entry,             ///< runs the daemons of this system
    model_server,      ///< a target that runs a language-model engine
    application_server ///< a target that runs another service
};

/** The state of a host according to the list. */
enum class host_state
{
    live,
    leaving
};

/** An entry of the host list: an entry host or a target. */
struct listed_host
{
    /** Never reused: a host that replaces another one at the same address has
        a new id. */
    std::string id;
    host_kind kind = host_kind::entry;
    host_state state = host_state::live;
    /** The service that a target belongs to; empty for entry hosts. */
    std::string service;
    std::string region;
    std::string availability_zone;
    /** IP address of the target, or of the controller's peer endpoint for an
        entry host. */
    std::string address;
    /** Port at that address. */
    std::uint16_t port = 0;
};

/** The content of the list at one time. It may be out of date by several
    seconds. */
struct host_list_snapshot
{
    /** Increases with every change of the list. */
    std::uint64_t revision = 0;
    std::vector<listed_host> hosts;
};

/** The platform's eventually consistent list of live and leaving hosts. */
class host_list
{
public:
    using read_handler = std::function<void(result<host_list_snapshot>)>;

    virtual ~host_list() = default;

    /** Reads the current list of the platform. */
    virtual void read(std::chrono::milliseconds timeout,
                      read_handler handler) = 0;
};

} // namespace hibiscusferry

#endif
