#include "net.hpp"

#include <fcntl.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

// The platform's receiver of duty calls. It accepts all of them, and notes the
// holder, the fencing token and the window of each.

namespace
{

using namespace review;

void serve(int descriptor, int log)
{
    std::string buffer;
    message_head head;
    std::string body;
    while (read_message(descriptor, buffer, head, body))
    {
        const nlohmann::json report =
            nlohmann::json::parse(body, nullptr, false);
        const std::string window =
            report.is_object() && report.contains("window")
                ? report["window"].dump()
                : "none";
        const std::string line = std::to_string(now_ms()) + " holder " +
                                 head.field("x-duty-holder") + " fence " +
                                 head.field("x-fencing-token") + " window " +
                                 window + "\n";
        static_cast<void>(!::write(log, line.data(), line.size()));
        if (!send_all(descriptor,
                      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
            break;
    }
    ::close(descriptor);
}

} // namespace

int main(int argument_count, char** arguments)
{
    if (argument_count != 3)
    {
        std::cerr << "usage: ADDRESS LOG\n";
        return 2;
    }
    const int listener = listen_on(arguments[1]);
    const int log =
        ::open(arguments[2], O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    for (;;)
    {
        const int descriptor =
            ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor >= 0)
            std::thread(serve, descriptor, log).detach();
    }
}
