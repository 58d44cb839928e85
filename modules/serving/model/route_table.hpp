#ifndef HIBISCUSFERRY_SERVING_MODEL_ROUTE_TABLE_HPP
#define HIBISCUSFERRY_SERVING_MODEL_ROUTE_TABLE_HPP

#include "serving/model/fleet_configuration.hpp"
#include <memory>
#include <string_view>
#include <unordered_map>

namespace hibiscusferry
{

/** Finds the route of a request in one version of the configuration.

    Immutable and shared by the requests that began under it.
*/
class route_table
{
public:
    explicit route_table(fleet_configuration configuration);

    const fleet_configuration& configuration() const;

    /** The route of that host whose prefix is the longest that begins the
        path, or null. The host compares without case and port. */
    const route* find(std::string_view host, std::string_view path) const;

    /** The service of a route for one request: the same for the same id. */
    static const std::string& select_service(const route& found,
                                             std::string_view request_id);

private:
    fleet_configuration configuration_;
    /** Routes by host, the longest prefix first. */
    std::unordered_map<std::string, std::vector<const route*>> by_host_;
};

} // namespace hibiscusferry

#endif
