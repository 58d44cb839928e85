#ifndef HIBISCUSFERRY_STORAGE_HOST_LIST_TABLE_HOST_LIST_HPP
#define HIBISCUSFERRY_STORAGE_HOST_LIST_TABLE_HOST_LIST_HPP

#include "storage/host_list/host_list.hpp"
#include "storage/table_store/table_feed.hpp"
#include <boost/asio/io_context.hpp>

namespace hibiscusferry
{

/** The host list as a table of the table service, with one JSON row per host or
    target, keyed by its id. */
class table_host_list final : public host_list
{
public:
    static constexpr const char* table = "listed-hosts";

    /** The context and the feed must outlive the list. */
    table_host_list(boost::asio::io_context& context, table_feed& feed);

    /** Fails with platform_error::bad_response if any row is not a valid
        host. */
    void read(std::chrono::milliseconds timeout, read_handler handler) override;

private:
    boost::asio::io_context& context_;
    table_feed& feed_;
};

} // namespace hibiscusferry

#endif
