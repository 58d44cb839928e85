#ifndef HIBISCUSFERRY_REVIEW_SUPPORT_2_STORE_HPP
#define HIBISCUSFERRY_REVIEW_SUPPORT_2_STORE_HPP

#include "sockets.hpp"
#include <condition_variable>
#include <map>
#include <mutex>

namespace review
{

/** The platform's metadata store, in memory: rows in tables, read by range and
    by a feed of changes, written under conditions. It forgets nothing. */
class store
{
public:
    explicit store(const std::string& ip);

    const address& at() const;

    /** Writes a row, as the operator and the servers do. */
    void put(const std::string& table, const std::string& key,
             const std::string& value);
    void remove(const std::string& table, const std::string& key);

private:
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
        bool is_deleted = false;
    };

    void serve(tcp_socket socket);
    std::string answer(const http_message& request, int& status);
    std::string commit(const std::string& body, int& status);
    std::string rows(const std::map<std::string, std::string>& query);
    std::string feed(const std::map<std::string, std::string>& query);

    std::mutex mutex_;
    std::condition_variable changed_;
    /** By table and key. Deleted rows remain, for the feed. */
    std::map<std::string, std::map<std::string, row>> tables_;
    std::uint64_t version_ = 0;
    listener listener_;
};

} // namespace review

#endif
