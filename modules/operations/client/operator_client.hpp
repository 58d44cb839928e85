#ifndef HIBISCUSFERRY_OPERATIONS_CLIENT_OPERATOR_CLIENT_HPP
#define HIBISCUSFERRY_OPERATIONS_CLIENT_OPERATOR_CLIENT_HPP

#include "operations/client/client_settings.hpp"
#include <chrono>
#include <string>

namespace hibiscusferry
{

/** Makes the HTTP calls of ferryctl. Each call blocks until its response
    arrives or its timeout expires. */
class operator_client
{
public:
    static constexpr std::chrono::milliseconds call_timeout{20000};
    static constexpr std::chrono::milliseconds page_timeout{3000};

    operator_client(client_settings settings, std::string operator_key);

    /** Calls the operator API of the first controller that responds. After an
        error the call is retried at the next controller. This is safe for all
        calls because a change carries its change id. */
    result<http_response> call_controller(const std::string& method,
                                          const std::string& path,
                                          const std::string& body) const;

    /** Requests an admin page of one process. */
    result<http_response> read_page(const http_endpoint& process,
                                    const std::string& path) const;

    const client_settings& settings() const;

private:
    client_settings settings_;
    std::string operator_key_;
};

} // namespace hibiscusferry

#endif
