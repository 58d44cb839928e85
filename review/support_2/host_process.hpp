#ifndef HIBISCUSFERRY_REVIEW_SUPPORT_2_HOST_PROCESS_HPP
#define HIBISCUSFERRY_REVIEW_SUPPORT_2_HOST_PROCESS_HPP

#include "sockets.hpp"
#include <sys/types.h>

namespace review
{

/** What the settings of one host differ in from those of the others. */
struct host_settings
{
    std::string node;
    std::string ip;
    std::string zone;
    address platform;
    std::uint16_t front_port = 0;
    std::uint16_t ready_port = 0;
    std::uint16_t peer_port = 0;
};

/** A process of the project, started with the command of the deploy file and
    ended when the object is destroyed. */
class host_process
{
public:
    /** @param folder  takes the settings file and the output */
    host_process(const host_settings& settings, const std::string& folder);
    ~host_process();
    host_process(const host_process&) = delete;
    host_process& operator=(const host_process&) = delete;

    const host_settings& settings() const;
    pid_t id() const;
    address front() const;

    void start();
    void send_signal(int signal);
    /** Waits until the process has ended.
        @returns its status as of waitpid(), or -1 after the time */
    int wait_for_end(std::int64_t timeout_ms);

    /** Whether it says that it is ready. */
    bool is_ready() const;

    /** Whether it is at one end of a connection.
        @param own_port   the port at its end
        @param peer_port  the port at the other end */
    bool has_connection(std::uint16_t own_port, std::uint16_t peer_port) const;

private:
    host_settings settings_;
    std::string settings_path_;
    std::string output_path_;
    pid_t id_ = -1;
};

/** Waits until all are ready; ends the program with 2 if they aren't in time.
 */
void wait_until_ready(const std::vector<host_process*>& hosts);

} // namespace review

#endif
