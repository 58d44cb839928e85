#ifndef HIBISCUSFERRY_STORAGE_OBJECT_STORE_HTTP_OBJECT_STORE_HPP
#define HIBISCUSFERRY_STORAGE_OBJECT_STORE_HTTP_OBJECT_STORE_HPP

#include "storage/object_store/object_store.hpp"
#include "storage/service/platform_service.hpp"

namespace hibiscusferry
{

/** The object store over HTTP, in the form of docs/INTERFACES.md. Errors and
    handlers as in http_table_store. */
class http_object_store final : public object_store
{
public:
    explicit http_object_store(platform_service service);

    void write(const std::string& name, const std::string& bytes,
               std::chrono::milliseconds time_limit,
               write_handler handler) override;
    void read(const std::string& name, std::chrono::milliseconds time_limit,
              read_handler handler) override;

private:
    platform_service service_;
};

} // namespace hibiscusferry

#endif
