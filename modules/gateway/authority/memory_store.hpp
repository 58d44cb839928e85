#ifndef HIBISCUSFERRY_GATEWAY_AUTHORITY_MEMORY_STORE_HPP
#define HIBISCUSFERRY_GATEWAY_AUTHORITY_MEMORY_STORE_HPP

#include "storage/storage.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

// For tests only.

namespace hibiscusferry
{

/** The connection of a process to a store in the memory of the test. */
class memory_store final : public table_store
{
public:
    memory_store(boost::asio::io_context& context, memory_table& table)
        : context_(context)
        , table_(table)
    {
    }

    void commit(const table_transaction& transaction, std::chrono::milliseconds,
                commit_handler handler) override
    {
        boost::asio::post(context_, [this, transaction, handler]
                          { handler(table_.commit(transaction)); });
    }

    void read(const std::string& key, std::chrono::milliseconds,
              read_handler handler) override
    {
        boost::asio::post(context_,
                          [this, key, handler] { handler(table_.read(key)); });
    }

    void scan(const std::string& prefix, const std::string& after,
              std::size_t limit, std::chrono::milliseconds,
              scan_handler handler) override
    {
        boost::asio::post(context_, [this, prefix, after, limit, handler]
                          { handler(table_.scan(prefix, after, limit)); });
    }

private:
    boost::asio::io_context& context_;
    memory_table& table_;
};

} // namespace hibiscusferry

#endif
