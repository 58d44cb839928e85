#ifndef HIBISCUSFERRY_STORAGE_HOST_LIST_TABLE_HOST_LIST_HPP
#define HIBISCUSFERRY_STORAGE_HOST_LIST_TABLE_HOST_LIST_HPP

#include "storage/host_list/host_list.hpp"
#include "storage/table_store/table_feed.hpp"
#include <boost/asio/io_context.hpp>

namespace hibiscusferry
{

/** The host list as a table of the table service: a JSON row for each host or
    target, under its id. */
class table_host_list final : public host_list
{
public:
    static constexpr const char* table = "listed-hosts";

    /** Context and feed must outlive the list. */
    table_host_list(boost::asio::io_context& context, table_feed& feed);

    /** platform_error::bad_response if any row names no host. */
    void read(std::chrono::milliseconds time_limit,
              read_handler handler) override;

private:
    boost::asio::io_context& context_;
    table_feed& feed_;
};

} // namespace hibiscusferry

#endif
