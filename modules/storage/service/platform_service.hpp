#ifndef HIBISCUSFERRY_STORAGE_SERVICE_PLATFORM_SERVICE_HPP
#define HIBISCUSFERRY_STORAGE_SERVICE_PLATFORM_SERVICE_HPP

#include "http/message/http_message.hpp"
#include <functional>

namespace boost::asio
{
class io_context;
}

namespace hibiscusferry
{

class http_connection_pool;

/** Where a service of the platform answers over HTTP, and by what means it
    is called. Context and pool must outlive every call. */
struct platform_service
{
    std::reference_wrapper<boost::asio::io_context> context;
    std::reference_wrapper<http_connection_pool> pool;
    http_endpoint endpoint;
};

} // namespace hibiscusferry

#endif
