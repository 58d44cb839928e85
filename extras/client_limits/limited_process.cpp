#include "client_limits/limited_process.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

namespace hibiscusferry::client_limits
{

using nlohmann::json;
using review::milliseconds;
using review::steady_clock;

namespace
{

json configuration()
{
    return {{"version", 1},
            {"routes",
             {{{"name", "confirm"},
               {"hostname", "orders.example"},
               {"prefix", "/confirm/"},
               {"kind", "non_idempotent"},
               {"timeout-ms", 4000},
               {"target-latency-ms", 1000},
               {"priority", 2},
               {"service", "order-desk"},
               {"max-attempts", 1}}}},
            {"services",
             {{{"name", "order-desk"},
               {"health-path", "/health"},
               {"max-connections", 64},
               {"protocol", "h1"},
               {"tls", false}}}},
            {"limits",
             {{"max-header-bytes", 16384},
              {"max-body-bytes", 4194304},
              {"header-timeout-ms", 3000},
              {"idle-timeout-ms", 15000}}}};
}

bool wait_until(milliseconds timeout, const std::function<bool()>& condition)
{
    constexpr milliseconds period{50};
    const steady_clock::time_point deadline = steady_clock::now() + timeout;
    while (steady_clock::now() < deadline)
    {
        if (condition())
            return true;
        std::this_thread::sleep_for(period);
    }
    return false;
}

/** The store and the target of all processes. */
struct deployment
{
    std::string network;
    review::event_record* record;
    review::platform_store* store;
    review::application_server* target;
};

/** Starts the stand-ins. They are never destroyed, because their threads run
    until the end of the program. */
const deployment& running_deployment()
{
    static const deployment running = []
    {
        deployment started;
        started.network = review::loopback_network();
        started.record = new review::event_record("/dev/null");
        started.store = new review::platform_store(started.network + "1");
        started.store->put("op", "config", configuration().dump());
        review::server_settings target;
        target.id = "i-0";
        target.service = "order-desk";
        target.address = started.network + "20";
        target.zone = "zone-a";
        target.slots = 32;
        target.work = milliseconds(20);
        // Several times what the buffers of a connection hold.
        target.response_bytes = 2000000;
        started.target = new review::application_server(target, *started.store,
                                                        *started.record);
        return started;
    }();
    return running;
}

} // namespace

limited_process::limited_process()
    : folder_(review::temporary_folder())
{
    const deployment& stand_ins = running_deployment();
    json settings = review::machine_settings(stand_ins.network, 10, "zone-a",
                                             stand_ins.store->port());
    settings["limits"]["memory-mb"] = memory_mb;
    settings["limits"]["max-fds"] = max_descriptors;
    address_ = settings.at("ip").get<std::string>();
    callers_port_ = review::free_port(address_);
    readiness_port_ = review::free_port(address_);
    settings["listen"] = {
        {"front", address_ + ":" + std::to_string(callers_port_)},
        {"ready", address_ + ":" + std::to_string(readiness_port_)}};
    start(settings);
    wait_until(milliseconds(20000), [this] { return is_ready(); });
}

limited_process::~limited_process()
{
    if (is_running())
    {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void limited_process::start(const json& settings)
{
    std::ofstream(folder_ + "/local.json") << settings.dump(2);
    std::string path = HIBISCUSFERRY_PROGRAM;
    std::string variable = "HIBISCUSFERRY_SETTINGS=" + folder_ + "/local.json";
    const std::string log = folder_ + "/log.txt";
    char* const arguments[] = {path.data(), nullptr};
    char* const variables[] = {variable.data(), nullptr};
    const pid_t child = ::fork();
    if (child == 0)
    {
        const int output = ::open(
            log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execve(path.c_str(), arguments, variables);
        std::_Exit(127);
    }
    pid_ = child;
}

bool limited_process::is_running()
{
    if (pid_ <= 0)
        return false;
    if (::waitpid(pid_, nullptr, WNOHANG) == 0)
        return true;
    pid_ = -1;
    return false;
}

bool limited_process::is_ready()
{
    constexpr milliseconds timeout{2000};
    const std::unique_ptr<review::connection> peer =
        review::connection::open(address_, readiness_port_, timeout);
    if (!peer || !peer->write("GET /-/ready HTTP/1.1\r\nHost: ready\r\n"
                              "Connection: close\r\n\r\n"))
        return false;
    const std::optional<review::message_head> head = peer->read_head(timeout);
    return head && head->status() == 200;
}

bool limited_process::answers_once()
{
    constexpr milliseconds timeout{5000};
    const std::unique_ptr<review::connection> peer =
        review::connection::open(address_, callers_port_, timeout);
    if (!peer || !peer->write("POST /confirm/ordinary HTTP/1.1\r\n"
                              "Host: orders.example\r\nX-Request-Id: " +
                              review::next_request_id() +
                              "\r\nX-Deadline-Ms: 4000\r\n"
                              "Content-Length: 5\r\n\r\norder"))
        return false;
    const std::optional<review::message_head> head = peer->read_head(timeout);
    return head && head->status() == 200 &&
           peer->read_body(*head, timeout).has_value();
}

bool limited_process::answers_request()
{
    return wait_until(milliseconds(20000), [this] { return answers_once(); });
}

std::size_t limited_process::peak_resident_kb() const
{
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(file, line))
    {
        if (line.rfind("VmHWM:", 0) == 0)
            return std::strtoul(line.c_str() + 6, nullptr, 10);
    }
    return 0;
}

std::size_t limited_process::open_descriptors() const
{
    std::error_code error;
    std::size_t count = 0;
    std::filesystem::directory_iterator entries(
        "/proc/" + std::to_string(pid_) + "/fd", error);
    for (; !error && entries != std::filesystem::directory_iterator();
         entries.increment(error))
        ++count;
    return count;
}

const std::string& limited_process::address() const
{
    return address_;
}

std::uint16_t limited_process::callers_port() const
{
    return callers_port_;
}

std::uint16_t limited_process::readiness_port() const
{
    return readiness_port_;
}

} // namespace hibiscusferry::client_limits
