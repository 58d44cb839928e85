#include "soak/traffic.hpp"

namespace hibiscusferry::soak
{

bool request_type::is_repeatable() const
{
    return is_resumable || kind == std::string("idempotent");
}

const std::array<request_type, 4>& request_types()
{
    static const std::array<request_type, 4> types{
        {{"order", "/order/", "desk", "non_idempotent", false, false, 2000},
         {"stock", "/stock/", "desk", "idempotent", false, false, 2000},
         {"query", "/query/", "assistant", "streaming", true, false, 5000},
         {"chat", "/chat/", "assistant", "streaming", true, true, 5000}}};
    return types;
}

const request_type* find_request_type(const std::string& path)
{
    for (const request_type& type : request_types())
    {
        if (path.rfind(type.prefix, 0) == 0)
            return &type;
    }
    return nullptr;
}

const std::string& route_host()
{
    static const std::string name = "soak.example";
    return name;
}

nlohmann::json configuration(int version, int timeout_percent, bool has_engines)
{
    nlohmann::json routes = nlohmann::json::array();
    for (const request_type& type : request_types())
        routes.push_back(
            {{"name", type.route},
             {"hostname", route_host()},
             {"prefix", type.prefix},
             {"kind", type.kind},
             {"timeout-ms", type.timeout_ms * timeout_percent / 100},
             {"target-latency-ms", 120},
             {"gap-target-ms", 150},
             {"priority", 1},
             {"service", type.service},
             {"max-attempts", 3},
             {"resumable", type.is_resumable}});
    nlohmann::json services = nlohmann::json::array();
    for (const char* const name : {"desk", "assistant"})
        services.push_back({{"name", name},
                            {"health-path", "/health"},
                            {"max-connections", 160},
                            {"protocol", "h1"},
                            {"tls", false}});
    if (has_engines)
        services.back()["engine"] = {{"slots", 8},
                                     {"kv-capacity", 1000000},
                                     {"kv-token-bytes", 4000},
                                     {"link-mbps", 1000000},
                                     {"handle-ttl-s", 5},
                                     {"role-switch-s", 3}};
    return {{"version", version},
            {"routes", std::move(routes)},
            {"services", std::move(services)},
            {"limits",
             {{"max-header-bytes", 16384},
              {"max-body-bytes", 4194304},
              {"header-timeout-ms", 3000},
              {"idle-timeout-ms", 15000}}}};
}

} // namespace hibiscusferry::soak
