#include "host_process.hpp"

#include "record.hpp"
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <dirent.h>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

/** The settings of a small deployment, with the bounds of its page. */
std::string settings_text(const host_settings& settings)
{
    std::ostringstream text;
    text << R"({"node":")" << settings.node << R"(","role":"gateway",)"
         << R"("instance-class":"front","serves":["front"],"ip":")"
         << settings.ip << R"(","zone":")" << settings.zone
         << R"(","region":"nl-west","listen":{"front":")" << settings.ip << ":"
         << settings.front_port << R"(","ready":")" << settings.ip << ":"
         << settings.ready_port << R"("},"internal-port-range":[)"
         << settings.peer_port << "," << settings.peer_port + 15
         << R"(],"seeds":[],"bootstrap":true,"limits":{"cpu-share":0.25,)"
         << R"("cores":1,"memory-mb":260,"max-fds":4100,"link-mbps":1000.0,)"
         << R"("disk-mb":0},"data-dir":null,"discovery":"platform",)"
         << R"("entry":"vip","heartbeat-ms":1200,"contracts":["base","drain",)"
         << R"("config","cost","retry","recover","split","stream","engine",)"
         << R"("platform"],"bounds":{"seed-lag-s":3,"addr-reuse-s":2,)"
         << R"("stable-window-ms":3000,"ack-timeout-ms":4000,"catch-up-s":4,)"
         << R"("drain-ms":2000,"grace-s":8,"loss-slack-ms":200,)"
         << R"("config-apply-ms":2000,"rollback-slack-ms":250,)"
         << R"("skew-max-ms":5000,"retry-budget-ratio":0.2,)"
         << R"("retry-window-s":10,"retry-slack":52,"recovery-s":12,)"
         << R"("transit-ms":120,"retry-after-s":3,"require-fencing":false,)"
         << R"("lease-ms":3000,"thaw-slack-ms":300},"platform":{"address":")"
         << settings.platform.text()
         << R"(","form":"table","writes-per-s":400,"reads-per-s":2000,)"
         << R"("tx-ms":8.0,"partition-writes-s":150,"row-bytes":65536,)"
         << R"("across":false,"history-s":20,"blob-bytes":8388608,)"
         << R"("blob-ms":25.0,"blob-mb-s":80.0}})";
    return text.str();
}

} // namespace

host_process::host_process(const host_settings& settings,
                           const std::string& folder)
    : settings_(settings)
    , settings_path_(folder + "/" + settings.node + ".json")
    , output_path_(folder + "/" + settings.node + ".log")
{
    std::ofstream(settings_path_) << settings_text(settings);
}

host_process::~host_process()
{
    if (id_ <= 0)
        return;
    send_signal(SIGCONT);
    send_signal(SIGKILL);
    wait_for_end(2000);
}

const host_settings& host_process::settings() const
{
    return settings_;
}

pid_t host_process::id() const
{
    return id_;
}

address host_process::front() const
{
    return {settings_.ip, settings_.front_port};
}

void host_process::start()
{
    const int output =
        ::open(output_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    const std::string variable = "HIBISCUSFERRY_SETTINGS=" + settings_path_;
    const std::string path = "target/hibiscusferry";
    const char* const arguments[] = {path.c_str(), nullptr};
    const char* const environment[] = {variable.c_str(), nullptr};
    id_ = ::fork();
    if (id_ == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        for (int descriptor = 3; descriptor < 1024; ++descriptor)
            ::close(descriptor);
        ::execve(path.c_str(), const_cast<char* const*>(arguments),
                 const_cast<char* const*>(environment));
        std::_Exit(127);
    }
    ::close(output);
    record(settings_.node + " started");
}

void host_process::send_signal(int signal)
{
    if (id_ > 0)
        ::kill(id_, signal);
}

int host_process::wait_for_end(std::int64_t timeout_ms)
{
    const std::int64_t end = now_ms() + timeout_ms;
    int status = 0;
    while (::waitpid(id_, &status, WNOHANG) == 0)
    {
        if (now_ms() >= end)
            return -1;
        sleep_ms(10);
    }
    id_ = -1;
    return status;
}

bool host_process::is_ready() const
{
    tcp_socket socket =
        tcp_socket::connect({settings_.ip, settings_.ready_port});
    if (!socket.is_open() ||
        !socket.write("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"))
        return false;
    std::string buffer;
    http_message response;
    return read_message(socket, buffer, response, now_ms() + 1000, true) &&
           response.status() == 200;
}

bool host_process::has_connection(std::uint16_t own_port,
                                  std::uint16_t peer_port) const
{
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::string socket_name;
    while (std::getline(table, line))
    {
        unsigned local = 0;
        unsigned remote = 0;
        unsigned long inode = 0;
        if (std::sscanf(line.c_str(),
                        " %*d: %*x:%x %*x:%x %*x %*x:%*x %*x:%*x %*x %*d %*d "
                        "%lu",
                        &local, &remote, &inode) == 3 &&
            local == own_port && remote == peer_port)
            socket_name = "socket:[" + std::to_string(inode) + "]";
    }
    const std::string folder = "/proc/" + std::to_string(id_) + "/fd";
    DIR* const descriptors = ::opendir(folder.c_str());
    if (descriptors == nullptr || socket_name.empty())
    {
        if (descriptors != nullptr)
            ::closedir(descriptors);
        return false;
    }
    bool is_found = false;
    while (const dirent* const entry = ::readdir(descriptors))
    {
        char target[128] = {};
        const std::string path = folder + "/" + entry->d_name;
        if (::readlink(path.c_str(), target, sizeof target - 1) > 0)
            is_found = is_found || socket_name == target;
    }
    ::closedir(descriptors);
    return is_found;
}

void wait_until_ready(const std::vector<host_process*>& hosts)
{
    const std::int64_t end = now_ms() + 20000;
    while (!std::all_of(hosts.begin(), hosts.end(),
                        [](const host_process* host)
                        { return host->is_ready(); }))
    {
        if (now_ms() > end)
        {
            record("the hosts are not ready: the case could not run");
            std::fprintf(stderr, "the hosts are not ready\n");
            for (host_process* const host : hosts)
                host->send_signal(SIGKILL);
            std::_Exit(2);
        }
        sleep_ms(100);
    }
}

} // namespace review
