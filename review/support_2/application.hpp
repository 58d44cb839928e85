#ifndef HIBISCUSFERRY_REVIEW_SUPPORT_2_APPLICATION_HPP
#define HIBISCUSFERRY_REVIEW_SUPPORT_2_APPLICATION_HPP

#include "store.hpp"
#include <set>

namespace review
{

/** A request that an application server has run. */
struct run_request
{
    std::string id;
    std::string method;
    std::string target;
    std::string body;
};

/** The requests that all application servers have run. */
class run_log
{
public:
    void add(const run_request& request);
    std::vector<run_request> requests() const;

    /** The head of a request has arrived. */
    void add_received(const std::string& id);
    bool has_received(const std::string& id) const;

private:
    mutable std::mutex mutex_;
    std::vector<run_request> requests_;
    std::set<std::string> received_;
};

/** A sound application server. */
class application
{
public:
    /** Writes its row from now on. */
    application(const std::string& ip, const std::string& id,
                const std::string& zone, store& rows, run_log& log);

    /** How many bytes a second all application servers read from each
        connection; 0 for no limit. */
    static std::atomic<std::int64_t> bytes_per_s;

private:
    void serve(tcp_socket socket);

    std::string id_;
    run_log& log_;
    listener listener_;
};

/** Routes to the application servers, as a configuration: one for requests
    that may not be repeated, and one for lookups. */
std::string application_configuration();

} // namespace review

#endif
