#ifndef HIBISCUSFERRY_STORAGE_TABLE_STORE_HTTP_TABLE_STORE_HPP
#define HIBISCUSFERRY_STORAGE_TABLE_STORE_HTTP_TABLE_STORE_HPP

#include "storage/service/platform_service.hpp"
#include "storage/table_store/table_store.hpp"

namespace hibiscusferry
{

/** The table service over HTTP, in the form of docs/INTERFACES.md.

    A commit is sent once. It ends with platform_error::not_sent or refused
    only when it certainly has no effect; after outcome_unknown and bad_answer
    it may have one, now or later. A handler is not called when the io_context
    ends before the call does.
*/
class http_table_store final : public table_store
{
public:
    /** Rows that the service gives at once; scan asks as often as needed. */
    static constexpr std::size_t most_rows_per_call = 1000;

    explicit http_table_store(platform_service service);

    void commit(const table_transaction& transaction,
                std::chrono::milliseconds time_limit,
                commit_handler handler) override;
    void read(const std::string& key, std::chrono::milliseconds time_limit,
              read_handler handler) override;
    void scan(const std::string& prefix, const std::string& after,
              std::size_t limit, std::chrono::milliseconds time_limit,
              scan_handler handler) override;

private:
    platform_service service_;
};

} // namespace hibiscusferry

#endif
