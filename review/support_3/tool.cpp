#include "net.hpp"

#include <csignal>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <vector>

// Small steps of the scripts: free ports, rows of the store, single calls.

namespace
{

using namespace review;

std::string standard_input()
{
    return {std::istreambuf_iterator<char>(std::cin),
            std::istreambuf_iterator<char>()};
}

/** Prints ports that are free at all loopback addresses. */
int print_ports(int count)
{
    std::vector<int> held;
    for (int index = 0; index < count; ++index)
    {
        held.push_back(::socket(AF_INET, SOCK_STREAM, 0));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        socklen_t size = sizeof address;
        if (::bind(held.back(), reinterpret_cast<sockaddr*>(&address), size) !=
                0 ||
            ::getsockname(held.back(), reinterpret_cast<sockaddr*>(&address),
                          &size) != 0)
            return 2;
        std::cout << ntohs(address.sin_port) << "\n";
    }
    return 0;
}

/** Writes a row, with the value as standard input. */
int put_row(const std::string& store, const std::string& table,
            const std::string& key)
{
    const nlohmann::json row{{"table", table},
                             {"part", ""},
                             {"key", key},
                             {"value", encode_value(standard_input())}};
    std::string answer;
    const int status = call(store, "POST", "/-/rows-tx",
                            nlohmann::json{{"set-keys", {row}}}.dump(), answer);
    return status == 200 ? 0 : 2;
}

/** Sends SIGHUP to a process as soon as it runs a program. */
int hang_up(int process, const std::string& program)
{
    const std::string link = "/proc/" + std::to_string(process) + "/exe";
    const std::int64_t until = now_ms() + 2000;
    while (now_ms() < until)
    {
        char path[4096] = {};
        const ssize_t size = ::readlink(link.c_str(), path, sizeof path - 1);
        if (size > 0 && program == path)
            return ::kill(process, SIGHUP) == 0 ? 0 : 2;
    }
    return 2;
}

} // namespace

int main(int argument_count, char** arguments)
{
    const std::string step = argument_count > 1 ? arguments[1] : "";
    if (step == "ports" && argument_count == 3)
        return print_ports(std::atoi(arguments[2]));
    if (step == "put" && argument_count == 5)
        return put_row(arguments[2], arguments[3], arguments[4]);
    if (step == "hang-up" && argument_count == 4)
        return hang_up(std::atoi(arguments[2]), arguments[3]);
    if (step == "get" && argument_count == 4)
    {
        std::string answer;
        const int status = call(arguments[2], "GET", arguments[3], "", answer);
        std::cout << answer << "\n";
        return status == 200 ? 0 : 1;
    }
    std::cerr << "usage: ports N | put STORE TABLE KEY | "
                 "hang-up PID PROGRAM | get ADDRESS TARGET\n";
    return 2;
}
