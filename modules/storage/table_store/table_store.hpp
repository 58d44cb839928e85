#ifndef HIBISCUSFERRY_STORAGE_TABLE_STORE_TABLE_STORE_HPP
#define HIBISCUSFERRY_STORAGE_TABLE_STORE_TABLE_STORE_HPP

#include "foundation/foundation.hpp"
#include "storage/errors/platform_error.hpp"
#include "storage/table_store/table_transaction.hpp"
#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** The platform's transactional table service.

    Calls return immediately. The handler is called exactly once, on the I/O
    thread of the process and never from within the call. A commit that timed
    out may still take effect later.
*/
class table_store
{
public:
    using commit_handler = std::function<void(result<commit_receipt>)>;
    using read_handler = std::function<void(result<table_row>)>;
    using scan_handler = std::function<void(result<std::vector<table_row>>)>;

    virtual ~table_store() = default;

    /** Commits a transaction if all its conditions hold. */
    virtual void commit(const table_transaction& transaction,
                        std::chrono::milliseconds timeout,
                        commit_handler handler) = 0;

    /** Reads one row; fails with platform_error::not_found if it does not
        exist. */
    virtual void read(const std::string& key, std::chrono::milliseconds timeout,
                      read_handler handler) = 0;

    /** Reads, in key order, at most `limit` rows whose keys begin with
        `prefix` and are greater than `after`. */
    virtual void scan(const std::string& prefix, const std::string& after,
                      std::size_t limit, std::chrono::milliseconds timeout,
                      scan_handler handler) = 0;
};

} // namespace hibiscusferry

#endif
