#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_SUPPORT_STAND_IN_PROGRAM_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_SUPPORT_STAND_IN_PROGRAM_HPP

#include "http/http.hpp"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace hibiscusferry::stand_ins
{

/** Parses the command line and initializes logging. */
void parse_command_line(int& argument_count, char**& arguments,
                        const std::string& usage);

/** Listens on --address and --port, prints "listening ADDRESS:PORT", and serves
    requests until SIGTERM or SIGINT is received. Requests in flight at that
    time may complete within --stop_limit_ms; then the process exits.

    @param on_stop  called once when the signal is received; may be empty
*/
[[noreturn]] void run_stand_in(boost::asio::io_context& context,
                               http_server::handler handler,
                               std::function<void()> on_stop);

/** Keeps an exchange open without a response until the client closes the
    connection. */
void hang_until_disconnect(boost::asio::io_context& context,
                           http_exchange& exchange,
                           boost::asio::yield_context yield);

/** Sends a JSON response and ignores a disconnected client. */
void send_json(http_exchange& exchange, unsigned status,
               const nlohmann::json& body, boost::asio::yield_context yield);

/** Sends a response and ignores a disconnected client. */
void send_response(http_exchange& exchange, const http_response& response,
                   boost::asio::yield_context yield);

/** Returns the body of an error response: {"error":{"code":CODE}}. */
nlohmann::json error_body(const std::string& code);

/** Returns a refusal which states that the request was not executed. */
http_response not_run_response(unsigned status, const std::string& code);

/** Parses the body of a request.

    @returns the JSON object, or a discarded value if the body isn't one
*/
nlohmann::json parse_object(const http_request& request);

} // namespace hibiscusferry::stand_ins

#endif
