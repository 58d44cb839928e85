#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_SUPPORT_STAND_IN_PROGRAM_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_SUPPORT_STAND_IN_PROGRAM_HPP

#include "http/http.hpp"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace hibiscusferry::stand_ins
{

/** Reads the command line and prepares the log. */
void parse_command_line(int& argument_count, char**& arguments,
                        const std::string& usage);

/** Listens on --address and --port, prints "listening ADDRESS:PORT", and
    serves until SIGTERM or SIGINT. Requests open then may finish within
    --stop_limit_ms. Ends the process.

    @param on_stop  called once at the signal, or empty
*/
[[noreturn]] void run_stand_in(boost::asio::io_context& context,
                               http_server::handler handler,
                               std::function<void()> on_stop);

/** Holds an exchange open without an answer until the client closes the
    connection. */
void hang_until_disconnect(boost::asio::io_context& context,
                           http_exchange& exchange,
                           boost::asio::yield_context yield);

/** Answers with JSON, and does not mind when the client is gone. */
void send_json(http_exchange& exchange, unsigned status,
               const nlohmann::json& body, boost::asio::yield_context yield);

/** Answers, and does not mind when the client is gone. */
void send_response(http_exchange& exchange, const http_response& response,
                   boost::asio::yield_context yield);

/** The body of an error answer: {"error":{"code":CODE}}. */
nlohmann::json error_body(const std::string& code);

/** A refusal that says that nothing was run. */
http_response not_run_response(unsigned status, const std::string& code);

/** The request's body as a JSON object; a discarded value otherwise. */
nlohmann::json parse_object(const http_request& request);

} // namespace hibiscusferry::stand_ins

#endif
