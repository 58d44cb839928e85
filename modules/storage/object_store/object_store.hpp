#ifndef HIBISCUSFERRY_STORAGE_OBJECT_STORE_OBJECT_STORE_HPP
#define HIBISCUSFERRY_STORAGE_OBJECT_STORE_OBJECT_STORE_HPP

#include "foundation/foundation.hpp"
#include "storage/errors/platform_error.hpp"
#include <chrono>
#include <functional>
#include <string>

namespace hibiscusferry
{

/** The platform's object store, for values too large for a table row.

    Objects are written once under a name that is never used again, so that
    a late write can only repeat itself. Handlers as in table_store.
*/
class object_store
{
public:
    using write_handler = std::function<void(result<void>)>;
    using read_handler = std::function<void(result<std::string>)>;

    virtual ~object_store() = default;

    virtual void write(const std::string& name, const std::string& bytes,
                       std::chrono::milliseconds time_limit,
                       write_handler handler) = 0;

    /** Reads an object; platform_error::not_found when it is absent. */
    virtual void read(const std::string& name,
                      std::chrono::milliseconds time_limit,
                      read_handler handler) = 0;
};

} // namespace hibiscusferry

#endif
