// Case 7: a request that lies in the body of another one is run.

#include "../support_2/application.hpp"
#include "../support_2/host_process.hpp"
#include "../support_2/record.hpp"
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>

using namespace review;

namespace
{

/** What the body of each request contains. */
std::string inner_request(int number)
{
    return "POST /confirm/inner HTTP/1.1\r\nHost: h.example\r\n"
           "X-Request-Id: inner-" +
           std::to_string(number) +
           "\r\nX-Deadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n";
}

/** Sends a request and records the answers on its connection. */
void send_request(const address& front, int number, const std::string& framing)
{
    const std::string id = "outer-" + std::to_string(number);
    const std::string body = inner_request(number);
    tcp_socket socket = tcp_socket::connect(front);
    record("client sends POST /confirm/outer id " + id + ", " + framing +
           ", body of " + std::to_string(body.size()) + " bytes");
    socket.write("POST /confirm/outer HTTP/1.1\r\nHost: h.example\r\n"
                 "X-Request-Id: " +
                 id + "\r\nX-Deadline-Ms: 1000\r\n" + framing + "\r\n\r\n" +
                 body);
    std::string buffer;
    http_message response;
    while (read_message(socket, buffer, response, now_ms() + 1500, true))
        record("client gets " + std::to_string(response.status()) +
               " with X-Request-Id '" + response.value("X-Request-Id") + "'");
}

/** Checks the rule UNASKED.
    @param bodies  the bodies of the requests that were sent, by their ids */
bool is_kept(const std::vector<run_request>& requests,
             const std::map<std::string, std::string>& bodies)
{
    bool kept = true;
    for (const run_request& request : requests)
    {
        const auto sent = bodies.find(request.id);
        if (sent != bodies.end() && sent->second == request.body)
            continue;
        kept = false;
        record("UNASKED is broken: a server ran " + request.id +
               (sent == bodies.end() ? ", which was inside another request"
                                     : " with its body changed"));
    }
    return kept;
}

} // namespace

int main(int, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = arguments[1];
    const bool has_trouble = std::string(arguments[2]) != "0";
    open_record(arguments[3]);
    store* const rows = new store("127.0.0.2");
    run_log* const log = new run_log;
    rows->put("op", "config", application_configuration());
    for (const std::string zone : {"nl-west-a", "nl-west-b", "nl-west-c"})
        new application("127.0.0.4", "i-" + zone, zone, *rows, *log);

    host_settings settings;
    settings.node = "front-nl-west-a-1";
    settings.ip = "127.0.0.11";
    settings.zone = "nl-west-a";
    settings.platform = rows->at();
    settings.front_port = free_port({settings.ip});
    settings.ready_port = free_port({settings.ip});
    settings.peer_port = free_port({settings.ip});
    host_process* const host = new host_process(settings, folder);
    host->start();
    wait_until_ready({host});
    sleep_ms(1000);

    std::map<std::string, std::string> bodies;
    const std::vector<std::string> codings{"gzip", "chunked, gzip", "xchunked"};
    for (int number = 1; number <= 3; ++number)
    {
        const std::string body = inner_request(number);
        bodies["outer-" + std::to_string(number)] = body;
        send_request(host->front(), number,
                     has_trouble
                         ? "Transfer-Encoding: " + codings[number - 1]
                         : "Content-Length: " + std::to_string(body.size()));
    }
    const bool has_run = has_trouble || log->requests().size() == 3;
    const bool kept = is_kept(log->requests(), bodies);
    delete host;
    record(!has_run ? "the case could not run"
                    : (kept ? "the rule held" : "the rule was broken"));
    std::fflush(nullptr);
    std::_Exit(!has_run ? 2 : (kept ? 0 : 1));
}
