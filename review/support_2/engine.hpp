#ifndef HIBISCUSFERRY_REVIEW_SUPPORT_2_ENGINE_HPP
#define HIBISCUSFERRY_REVIEW_SUPPORT_2_ENGINE_HPP

#include "store.hpp"
#include <atomic>
#include <set>

namespace review
{

/** An order as it arrived at an engine. */
struct arrived_order
{
    std::int64_t at = 0;
    std::string engine;
    std::string holder;
    std::uint64_t fence = 0;
    int status = 0;
};

/** The orders that arrived at all engines. */
class order_log
{
public:
    void add(const arrived_order& order);
    std::vector<arrived_order> orders() const;

private:
    mutable std::mutex mutex_;
    std::vector<arrived_order> orders_;
};

/** A model server: reads prompts, makes tokens and takes orders. It does not
    check fences, and checks the expected number of orders. */
class engine
{
public:
    engine(const std::string& ip, const std::string& id, store& rows,
           order_log& log);

    const address& at() const;

    /** Writes its row from now on.
        @param published  the address that hosts connect to */
    void register_at(const address& published, const std::string& zone);

private:
    void serve(tcp_socket socket);
    std::string answer(const http_message& request, tcp_socket& socket);
    std::string take_order(const http_message& request);
    std::string report() const;
    std::string prefill(const http_message& request);
    std::string run(const http_message& request, tcp_socket& socket);
    void write_row();
    void update_stage();

    std::string id_;
    store& rows_;
    order_log& log_;
    mutable std::mutex mutex_;
    address published_;
    std::string zone_;
    std::string stage_ = "decode";
    std::string next_stage_;
    std::int64_t changed_at_ = 0;
    std::uint64_t orders_ = 0;
    std::uint64_t beats_ = 0;
    std::atomic<int> running_{0};
    listener listener_;
};

/** The route and the service of the engines, as a configuration. */
std::string engine_configuration();

} // namespace review

#endif
