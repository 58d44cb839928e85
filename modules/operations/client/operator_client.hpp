#ifndef HIBISCUSFERRY_OPERATIONS_CLIENT_OPERATOR_CLIENT_HPP
#define HIBISCUSFERRY_OPERATIONS_CLIENT_OPERATOR_CLIENT_HPP

#include "operations/client/client_settings.hpp"
#include <chrono>
#include <string>

namespace hibiscusferry
{

/** Makes the calls of ferryctl; each blocks until its answer or its time
    limit. */
class operator_client
{
public:
    static constexpr std::chrono::milliseconds call_timeout{20000};
    static constexpr std::chrono::milliseconds page_limit{3000};

    operator_client(client_settings settings, std::string operator_key);

    /** Calls the operators' API at the first controller that answers. A call
        is repeated at another one only after an error that leaves it safe:
        all calls are, as a change carries its change id. */
    result<http_response> call_controller(const std::string& method,
                                          const std::string& path,
                                          const std::string& body) const;

    /** Reads a page of one process. */
    result<http_response> read_page(const http_endpoint& process,
                                    const std::string& path) const;

    const client_settings& settings() const;

private:
    client_settings settings_;
    std::string operator_key_;
};

} // namespace hibiscusferry

#endif
