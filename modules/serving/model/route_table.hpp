#ifndef HIBISCUSFERRY_SERVING_MODEL_ROUTE_TABLE_HPP
#define HIBISCUSFERRY_SERVING_MODEL_ROUTE_TABLE_HPP

#include "serving/model/fleet_configuration.hpp"
#include "serving/model/prefix_index.hpp"
#include <memory>
#include <string_view>
#include <unordered_map>

namespace hibiscusferry
{

/** Looks up the routes of one version of the configuration.

    Immutable; shared by all requests that started under this version. Versions
    share the routes and the indexes of hosts that are the same in both.
*/
class route_table
{
public:
    /** @param former  the table of the version before, from which the new one
                       is made if they have most routes in common; null for
                       none */
    explicit route_table(fleet_configuration configuration,
                         const route_table* former = nullptr);

    const fleet_configuration& configuration() const;

    /** Returns the route of the host with the longest prefix that matches the
        path, or null. Hosts are compared without case and port. */
    const route* find(std::string_view host, std::string_view path) const;

    /** Selects the service for a request according to the weights of the
        route. The selection depends only on the request id, so that retries of
        a request reach the same service. */
    static const std::string& select_service(const route& route_entry,
                                             std::string_view request_id);

private:
    using host_index =
        std::unordered_map<std::string, std::shared_ptr<const prefix_index>>;

    /** The index of the configuration's routes. */
    host_index make_index() const;
    /** The same, made from that of another version.
        @returns none if it differs too much */
    std::optional<host_index> changed_index(const route_table& former) const;

    fleet_configuration configuration_;
    host_index by_host_;
};

} // namespace hibiscusferry

#endif
