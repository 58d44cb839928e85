#include "http/client/discard_body.hpp"

namespace hibiscusferry
{

result<void> discard_body(http_connection& connection,
                          std::size_t max_body_bytes,
                          std::chrono::milliseconds timeout,
                          boost::asio::yield_context yield)
{
    const time_point deadline = boot_clock::now() + timeout;
    std::size_t discarded_bytes = 0;
    for (;;)
    {
        const std::chrono::milliseconds remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                deadline - boot_clock::now());
        if (remaining <= std::chrono::milliseconds(0))
            return make_error_code(http_error::timed_out);
        const result<std::string> chunk =
            connection.read_some(remaining, yield);
        if (!chunk)
            return chunk.error();
        if (chunk.value().empty())
            return outcome::success();
        discarded_bytes += chunk.value().size();
        if (discarded_bytes > max_body_bytes)
            return make_error_code(http_error::too_large);
    }
}

} // namespace hibiscusferry
