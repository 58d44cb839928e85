#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_SERVER_SERVER_STAND_IN_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_SERVER_SERVER_STAND_IN_HPP

#include "foundation/foundation.hpp"
#include "stand_ins/support/stand_in_program.hpp"
#include <chrono>
#include <string>
#include <vector>

namespace hibiscusferry::stand_ins
{

/** A simulated application server of the users' platform that states a limit on
    its requests and counts those that it gets.

    POST /control/limit sets the field Server-Limit of the responses to the text
    in the body; an empty body ends the limit. POST /control/reset forgets the
    requests so far. GET /control/counts returns the number of requests since
    then (`requests`), the most in any window (`most_in_window`), and the time
    in seconds (`seconds`).
*/
class server_stand_in
{
public:
    /** @param run_time  the time that the execution of a request takes */
    server_stand_in(boost::asio::io_context& context,
                    std::chrono::milliseconds run_time);

    /** Serves one request. */
    void serve(http_exchange& exchange, boost::asio::yield_context yield);

private:
    void serve_control(http_exchange& exchange,
                       boost::asio::yield_context yield);
    std::size_t most_in_window() const;

    boost::asio::io_context& context_;
    std::chrono::milliseconds run_time_;
    std::string limit_;
    time_point counted_since_;
    std::vector<time_point> arrivals_;
};

} // namespace hibiscusferry::stand_ins

#endif
