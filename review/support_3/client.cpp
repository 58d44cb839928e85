#include "net.hpp"

#include <atomic>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

// Clients that send one request after another over kept connections, and check
// each success: its signature, and whether it is the whole answer.

namespace
{

using namespace review;

struct settings
{
    std::vector<std::string> hosts;
    std::string path;
    int clients = 0;
    std::int64_t until = 0;
};

std::mutex lock;

void report(const std::string& line)
{
    const std::lock_guard<std::mutex> held(lock);
    std::cout << now_ms() << " " << line << std::endl;
}

/** Reads an answer with a length or in chunks.
    @returns false if the connection ends before it is complete */
bool read_answer(int descriptor, message_head& head, std::string& body)
{
    std::string buffer;
    std::size_t begin = std::string::npos;
    const auto receive = [&]
    {
        char bytes[16384];
        const ssize_t count = ::recv(descriptor, bytes, sizeof bytes, 0);
        if (count > 0)
            buffer.append(bytes, static_cast<std::size_t>(count));
        return count > 0;
    };
    while ((begin = buffer.find("\r\n\r\n")) == std::string::npos)
    {
        if (!receive())
            return false;
    }
    head = parse_head(buffer.substr(0, begin));
    buffer.erase(0, begin + 4);
    body.clear();
    if (head.field("transfer-encoding") != "chunked")
    {
        const std::size_t length = static_cast<std::size_t>(
            std::atol(head.field("content-length").c_str()));
        while (buffer.size() < length)
        {
            if (!receive())
                return false;
        }
        body = buffer.substr(0, length);
        return true;
    }
    for (;;)
    {
        std::size_t end = 0;
        while ((end = buffer.find("\r\n")) == std::string::npos)
        {
            if (!receive())
                return false;
        }
        const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
        while (buffer.size() < end + 4 + size)
        {
            if (!receive())
                return false;
        }
        if (size == 0)
            return true;
        body += buffer.substr(end + 2, size);
        buffer.erase(0, end + 4 + size);
    }
}

std::string whole_answer(const std::string& id, bool is_stream)
{
    return is_stream ? "id: 1\ndata: " + id + "\n\nid: 2\ndata: " + id + "\n\n"
                     : std::string(800, 'a');
}

void run_client(const settings& used, int number)
{
    std::mt19937_64 random(static_cast<std::uint64_t>(unix_ms()) * 1000 +
                           static_cast<std::uint64_t>(number));
    const std::string& host =
        used.hosts[static_cast<std::size_t>(number) % used.hosts.size()];
    const bool is_stream = used.path.find("/stream/") != std::string::npos;
    int descriptor = -1;
    while (now_ms() < used.until)
    {
        if (descriptor < 0)
            descriptor = connect_to(host);
        if (descriptor < 0)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            continue;
        }
        constexpr timeval limit{3, 0};
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        char id[17];
        std::snprintf(id, sizeof id, "%016llx",
                      static_cast<unsigned long long>(random()));
        const bool is_sent =
            send_all(descriptor, "GET " + used.path +
                                     " HTTP/1.1\r\nHost: desk.example\r\n"
                                     "X-Request-Id: " +
                                     id + "\r\nX-Deadline-Ms: 2000\r\n\r\n");
        message_head head;
        std::string body;
        if (!is_sent || !read_answer(descriptor, head, body))
        {
            report(std::string(id) + " closed");
            ::close(descriptor);
            descriptor = -1;
            continue;
        }
        const int status = std::atoi(head.first.c_str() + 9);
        std::string outcome = "whole";
        if (status == 200 &&
            (head.field("x-response-signature") != std::string("s-") + id ||
             body != whole_answer(id, is_stream)))
            outcome = "CUT";
        if (status != 200)
            outcome = "refused";
        report(std::string(id) + " " + std::to_string(status) + " " +
               std::to_string(body.size()) + " " + outcome);
        if (head.field("connection") == "close")
        {
            ::close(descriptor);
            descriptor = -1;
        }
        if (status != 200)
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    if (descriptor >= 0)
        ::close(descriptor);
}

} // namespace

int main(int argument_count, char** arguments)
{
    if (argument_count < 5)
    {
        std::cerr << "usage: PATH CLIENTS SECONDS HOST...\n";
        return 2;
    }
    settings used;
    used.path = arguments[1];
    used.clients = std::atoi(arguments[2]);
    used.until = now_ms() + 1000 * std::atoi(arguments[3]);
    for (int index = 4; index < argument_count; ++index)
        used.hosts.push_back(arguments[index]);
    std::vector<std::thread> clients;
    for (int number = 0; number < used.clients; ++number)
        clients.emplace_back(run_client, std::cref(used), number);
    for (std::thread& client : clients)
        client.join();
}
