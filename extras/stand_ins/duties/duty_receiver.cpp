#include "stand_ins/duties/duty_receiver.hpp"

#include <algorithm>
#include <set>

namespace hibiscusferry::stand_ins
{

duty_receiver::duty_receiver(std::chrono::milliseconds lease_duration)
    : lease_duration_(lease_duration)
{
}

void duty_receiver::serve(http_exchange& exchange,
                          boost::asio::yield_context yield)
{
    const http_request& request = exchange.request();
    if (request.path() == "/control/calls" && request.method == "GET")
    {
        std::set<std::string> holders;
        for (const received_call& call : calls_)
            holders.insert(call.holder);
        return send_json(
            exchange, 200,
            {{"calls", calls_.size()},
             {"holders", holders},
             {"holder", calls_.empty() ? "" : calls_.back().holder},
             {"token", highest_token_},
             {"counted", counted_},
             {"shared", shared_},
             {"lower", lower_},
             {"turns", turns_},
             {"conflicts", conflicts_}},
            yield);
    }
    const bool is_report = request.path() == "/usage";
    const bool is_duty = is_report || request.path() == "/scale";
    if (request.method != "POST" || !is_duty)
        return send_json(exchange, 404, error_body("not_found"), yield);
    const std::string token(request.headers.value("X-Fencing-Token"));
    judge({boot_clock::now(),
           std::string(request.headers.value("X-Duty-Holder")),
           std::strtoull(token.c_str(), nullptr, 10)});
    if (is_report)
        record_report(request);
    send_json(exchange, 200, nlohmann::json::object(), yield);
}

void duty_receiver::judge(const received_call& call)
{
    const auto sender = holders_.try_emplace(call.token, call.holder).first;
    shared_ += sender->second != call.holder ? 1 : 0;
    lower_ += call.token < highest_token_ ? 1 : 0;
    highest_token_ = std::max(highest_token_, call.token);
    const auto last_other =
        std::find_if(calls_.rbegin(), calls_.rend(),
                     [&call](const received_call& earlier)
                     { return earlier.holder != call.holder; });
    const bool is_turn =
        std::any_of(last_other, calls_.rend(),
                    [this, &call](const received_call& earlier)
                    {
                        return earlier.holder == call.holder &&
                               call.at - earlier.at < lease_duration_;
                    });
    turns_ += is_turn ? 1 : 0;
    calls_.push_back(call);
}

void duty_receiver::record_report(const http_request& request)
{
    const nlohmann::json report = parse_object(request);
    if (!report.is_object() || !report.contains("window"))
        return;
    const auto [entry, is_new] = reports_.try_emplace(
        report.at("window").get<std::uint64_t>(), request.body);
    conflicts_ += entry->second != request.body ? 1 : 0;
    if (!is_new)
        return;
    for (const auto& [workspace, count] : report.at("counts").items())
        counted_ += count.get<std::uint64_t>();
}

} // namespace hibiscusferry::stand_ins
