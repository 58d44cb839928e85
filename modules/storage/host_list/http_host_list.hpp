#ifndef HIBISCUSFERRY_STORAGE_HOST_LIST_HTTP_HOST_LIST_HPP
#define HIBISCUSFERRY_STORAGE_HOST_LIST_HTTP_HOST_LIST_HPP

#include "storage/host_list/host_list.hpp"
#include "storage/service/platform_service.hpp"

namespace hibiscusferry
{

/** The host list over HTTP, in the form of docs/INTERFACES.md. Errors and
    handlers as in http_table_store; one malformed host makes the whole
    reading platform_error::bad_answer. */
class http_host_list final : public host_list
{
public:
    explicit http_host_list(platform_service service);

    void read(std::chrono::milliseconds time_limit,
              read_handler handler) override;

private:
    platform_service service_;
};

} // namespace hibiscusferry

#endif
