#include "application.hpp"

#include "record.hpp"
#include <nlohmann/json.hpp>

namespace review
{

namespace
{

constexpr std::int64_t beat_ms = 1200;
constexpr std::int64_t run_ms = 15;
/** Links have small windows. */
constexpr int buffer_bytes = 64 << 10;

} // namespace

std::atomic<std::int64_t> application::bytes_per_s{0};

void run_log::add_received(const std::string& id)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    received_.insert(id);
}

bool run_log::has_received(const std::string& id) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return received_.count(id) > 0;
}

void run_log::add(const run_request& request)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    requests_.push_back(request);
}

std::vector<run_request> run_log::requests() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return requests_;
}

application::application(const std::string& ip, const std::string& id,
                         const std::string& zone, store& rows, run_log& log)
    : id_(id)
    , log_(log)
    , listener_(
          {ip, 0}, [this](tcp_socket socket) { serve(std::move(socket)); },
          buffer_bytes)
{
    std::thread(
        [this, zone, &rows]
        {
            for (std::uint64_t beats = 1;; ++beats)
            {
                rows.put("servers", id_,
                         nlohmann::json({{"service", "desk"},
                                         {"address", listener_.at().text()},
                                         {"zone", zone},
                                         {"version", "v1"},
                                         {"slots", 6},
                                         {"state", "ready"},
                                         {"cold-remaining-ms", 0},
                                         {"born", 1700000000000},
                                         {"seq", beats}})
                             .dump());
                sleep_ms(beat_ms);
            }
        })
        .detach();
}

void application::serve(tcp_socket socket)
{
    std::string buffer;
    http_message request;
    socket.limit_reading(bytes_per_s);
    const auto on_head = [this](const http_message& head)
    {
        log_.add_received(head.value("X-Request-Id"));
    };
    while (read_message(socket, buffer, request, now_ms() + 600000, false,
                        on_head))
    {
        const std::string id = request.value("X-Request-Id");
        const std::string expected = request.value("X-Expect-Instance");
        std::string answer;
        if (!expected.empty() && expected != id_)
            answer = response_text(
                421, "", {{"X-Request-Id", id}, {"X-Instance-Id", id_}});
        else if (id.empty() || !request.is_complete)
            answer = response_text(400, "", {{"X-Not-Executed", "1"}});
        else
        {
            log_.add({id, request.method(), request.target(),
                      request.body.substr(0, 1000)});
            record("server " + id_ + " runs " + request.method() + " " +
                   request.target() + " id " + id + ", body of " +
                   std::to_string(request.body.size()) + " bytes");
            sleep_ms(run_ms);
            answer = response_text(200, "done",
                                   {{"X-Request-Id", id},
                                    {"X-Response-Signature", "3e1b." + id},
                                    {"X-Server-Load", "0,0,6"}});
        }
        if (!socket.write(answer))
            return;
    }
}

std::string application_configuration()
{
    return R"({"version":1,"routes":[{"name":"confirm",)"
           R"("hostname":"h.example","prefix":"/confirm/",)"
           R"("kind":"non_idempotent","timeout-ms":1000,)"
           R"("target-latency-ms":100,"priority":2,"service":"desk",)"
           R"("max-attempts":1},{"name":"lookup","hostname":"h.example",)"
           R"("prefix":"/lookup/","kind":"idempotent","timeout-ms":1000,)"
           R"("target-latency-ms":100,"priority":2,"service":"desk",)"
           R"("max-attempts":2},{"name":"upload","hostname":"h.example",)"
           R"("prefix":"/upload/","kind":"non_idempotent","timeout-ms":4000,)"
           R"("target-latency-ms":100,"priority":2,"service":"desk",)"
           R"("max-attempts":1}],"services":[{"name":"desk",)"
           R"("health-path":"/health","max-connections":96,"protocol":"h1",)"
           R"("tls":false}],"limits":{"max-header-bytes":16384,)"
           R"("max-body-bytes":4194304,"header-timeout-ms":5000,)"
           R"("idle-timeout-ms":15000}})";
}

} // namespace review
