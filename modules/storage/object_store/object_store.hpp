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

    Every object is written under a name that is never reused, so a delayed
    write can only store the same bytes again. Handlers are called as described
    at table_store.
*/
class object_store
{
public:
    using write_handler = std::function<void(result<void>)>;
    using read_handler = std::function<void(result<std::string>)>;

    virtual ~object_store() = default;

    /** Writes an object. */
    virtual void write(const std::string& name, const std::string& bytes,
                       std::chrono::milliseconds timeout,
                       write_handler handler) = 0;

    /** Reads an object; fails with platform_error::not_found if it does not
        exist. */
    virtual void read(const std::string& name,
                      std::chrono::milliseconds timeout,
                      read_handler handler) = 0;
};

} // namespace hibiscusferry

#endif
