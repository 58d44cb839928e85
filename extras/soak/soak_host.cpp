#include "soak/soak_host.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

namespace hibiscusferry::soak
{

using review::milliseconds;

soak_host::soak_host(const std::string& program, const std::string& folder,
                     const std::string& network, int number,
                     const std::string& availability_zone,
                     std::uint16_t store_port, request_ledger& ledger,
                     review::event_record& record)
    : program_(program)
    , address_(network + std::to_string(number))
    , store_proxy_(network + "1", store_port)
    , ledger_(ledger)
    , record_(record)
    , settings_(review::machine_settings(network, number, availability_zone,
                                         store_proxy_.port()))
    , name_(settings_.at("node").get<std::string>())
    , folder_(folder + "/" + name_)
    , port_(review::free_port(address_))
    , ready_port_(review::free_port(address_))
{
    settings_["zones"] = {
        {"zone-a", "region-1"}, {"zone-b", "region-1"}, {"zone-c", "region-2"}};
    settings_["region"] =
        settings_["zones"].value(availability_zone, "region-1");
    settings_["listen"] = {
        {"front", address_ + ":" + std::to_string(port_)},
        {"ready", address_ + ":" + std::to_string(ready_port_)}};
    std::filesystem::create_directories(folder_);
    write_settings();
}

soak_host::~soak_host()
{
    kill();
}

void soak_host::write_settings()
{
    const std::string path = folder_ + "/local.json";
    std::ofstream(path + ".new") << settings_.dump(2);
    std::filesystem::rename(path + ".new", path);
}

void soak_host::start()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    collect();
    if (pid_ > 0)
        return;
    std::string path = program_;
    std::string variable = "HIBISCUSFERRY_SETTINGS=" + folder_ + "/local.json";
    const std::string log = log_path();
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
    is_ending_ = false;
    record_.add("host " + name_ + " starts pid=" + std::to_string(child));
}

void soak_host::signal_locked(int number)
{
    collect();
    if (pid_ <= 0)
        return;
    record_.add("host " + name_ + " gets signal " + std::to_string(number));
    ::kill(pid_, number);
}

void soak_host::signal(int number)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    signal_locked(number);
}

void soak_host::stop()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    signal_locked(SIGTERM);
    is_ending_ = true;
    grace_ends_ms_ =
        record_.now_ms() +
        settings_["bounds"]["grace-s"].get<int>() * std::int64_t{1000};
}

void soak_host::kill()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    signal_locked(SIGKILL);
    is_ending_ = true;
    while (pid_ > 0)
    {
        collect();
        std::this_thread::sleep_for(milliseconds(1));
    }
}

void soak_host::watch()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    collect();
    if (pid_ > 0 && is_ending_ && record_.now_ms() >= grace_ends_ms_)
        signal_locked(SIGKILL);
}

void soak_host::collect()
{
    int status = 0;
    if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) == 0)
        return;
    pid_ = -1;
    const std::string text =
        WIFSIGNALED(status)
            ? "ended by signal " + std::to_string(WTERMSIG(status))
            : "ended with exit code " + std::to_string(WEXITSTATUS(status));
    record_.add("host " + name_ + " " + text);
    const bool is_signal_of_rig =
        WIFSIGNALED(status) &&
        (WTERMSIG(status) == SIGKILL || WTERMSIG(status) == SIGTERM);
    const bool is_in_order = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    if (!is_ending_ || !(is_signal_of_rig || is_in_order))
        ledger_.report("ENDED", name_, text);
}

bool soak_host::is_running()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    collect();
    return pid_ > 0;
}

void soak_host::change_grace(int seconds)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    settings_["bounds"]["grace-s"] = seconds;
    write_settings();
    record_.add("host " + name_ + " grace-s " + std::to_string(seconds));
}

bool soak_host::is_ready()
{
    constexpr milliseconds timeout{500};
    const std::unique_ptr<review::connection> peer =
        review::connection::open(address_, ready_port_, timeout);
    if (!peer || !peer->write("GET /-/ready HTTP/1.1\r\nHost: ready\r\n"
                              "Connection: close\r\n\r\n"))
        return false;
    const std::optional<review::message_head> head = peer->read_head(timeout);
    return head && head->status() == 200;
}

tcp_proxy& soak_host::store_proxy()
{
    return store_proxy_;
}

const std::string& soak_host::name() const
{
    return name_;
}

const std::string& soak_host::address() const
{
    return address_;
}

std::uint16_t soak_host::port() const
{
    return port_;
}

std::string soak_host::log_path() const
{
    return folder_ + "/log.txt";
}

} // namespace hibiscusferry::soak
