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

    Calls return at once; the handler is called exactly once, from the
    process's I/O thread and never from inside the call. A call that was
    given up at its time limit may still take effect afterwards.
*/
class table_store
{
public:
    using commit_handler = std::function<void(result<commit_receipt>)>;
    using read_handler = std::function<void(result<table_row>)>;
    using scan_handler = std::function<void(result<std::vector<table_row>>)>;

    virtual ~table_store() = default;

    /** Commits a transaction if its conditions hold. */
    virtual void commit(const table_transaction& transaction,
                        std::chrono::milliseconds time_limit,
                        commit_handler handler) = 0;

    /** Reads one row; platform_error::not_found when it is absent. */
    virtual void read(const std::string& key,
                      std::chrono::milliseconds time_limit,
                      read_handler handler) = 0;

    /** Reads, in order of key, at most `limit` rows whose keys begin with
        `prefix` and are greater than `after`. */
    virtual void scan(const std::string& prefix, const std::string& after,
                      std::size_t limit, std::chrono::milliseconds time_limit,
                      scan_handler handler) = 0;
};

} // namespace hibiscusferry

#endif
