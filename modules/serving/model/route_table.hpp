#ifndef HIBISCUSFERRY_SERVING_MODEL_ROUTE_TABLE_HPP
#define HIBISCUSFERRY_SERVING_MODEL_ROUTE_TABLE_HPP

#include "serving/model/fleet_configuration.hpp"
#include <memory>
#include <string_view>
#include <unordered_map>

namespace hibiscusferry
{

/** Looks up the routes of one version of the configuration.

    Immutable; shared by all requests that started under this version.
*/
class route_table
{
public:
    explicit route_table(fleet_configuration configuration);

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
    fleet_configuration configuration_;
    /** Routes by host, ordered by descending prefix length. */
    std::unordered_map<std::string, std::vector<const route*>> by_host_;
};

} // namespace hibiscusferry

#endif
