// Orders and KV transfer of the engine stand-in.
#include "stand_ins/engine/engine_stand_in.hpp"

#include "stand_ins/engine/model_api.hpp"

namespace hibiscusferry::stand_ins
{

namespace
{

constexpr std::string_view orders_path = "/v1/orders/";

} // namespace

// ========================================================================
// Orders
// ========================================================================

void engine_stand_in::receive_order(http_exchange& exchange,
                                    boost::asio::yield_context yield)
{
    const nlohmann::json body = parse_object(exchange.request());
    engine_order order;
    try
    {
        order.order_id = body.at("order_id").get<std::string>();
        order.fencing_number =
            body.at("fencing_number")
                .get_ref<const nlohmann::json::number_unsigned_t&>();
        order.action = body.at("action").get<std::string>();
        order.argument = body.at("argument").get<std::string>();
    }
    catch (const nlohmann::json::exception&)
    {
        return send_json(exchange, 400, error_body("bad_order"), yield);
    }

    const order_verdict verdict = orders_.receive(order);
    const bool is_refused = verdict == order_verdict::stale_fencing_number ||
                            verdict == order_verdict::other_order_running;
    if (is_refused)
        return send_json(exchange, 409, {{"reason", to_text(verdict)}}, yield);
    if (verdict == order_verdict::accepted)
        start_task(context_, [this, order](boost::asio::yield_context inner)
                   { execute_order(order, inner); });
    send_json(exchange, 202,
              {{"order_id", order.order_id},
               {"state", orders_.state_of(order.order_id)}},
              yield);
}

void engine_stand_in::respond_with_order(http_exchange& exchange,
                                         boost::asio::yield_context yield)
{
    const std::string id(exchange.request().path().substr(orders_path.size()));
    const std::string state = orders_.state_of(id);
    if (state.empty())
        return send_json(exchange, 404, error_body("no_order"), yield);
    send_json(exchange, 200, {{"order_id", id}, {"state", state}}, yield);
}

void engine_stand_in::raise_fence(http_exchange& exchange,
                                  boost::asio::yield_context yield)
{
    const nlohmann::json body = parse_object(exchange.request());
    const bool is_valid = !body.is_discarded() &&
                          body.contains("fencing_number") &&
                          body.at("fencing_number").is_number_unsigned();
    if (!is_valid)
        return send_json(exchange, 400, error_body("bad_fence"), yield);
    const std::uint64_t max_fencing_number =
        orders_.raise_fence(body.at("fencing_number").get<std::uint64_t>());
    send_json(exchange, 200, {{"fencing_number", max_fencing_number}}, yield);
}

void engine_stand_in::execute_order(const engine_order& order,
                                    boost::asio::yield_context yield)
{
    // An adapter is loaded while requests are being served. All other orders
    // make the engine unavailable while they are executed.
    const bool requires_downtime = order.action != "load_adapter";
    if (requires_downtime)
    {
        is_changing_ = true;
        ++changes_;
        abort_active();
    }
    sleep_for(context_, settings_.change_duration / 2, yield);
    if (requires_downtime && faults_.crash_on_change)
        std::_Exit(EXIT_FAILURE);
    sleep_for(context_, settings_.change_duration / 2, yield);
    orders_.finish_running(apply(order));
    if (requires_downtime)
        is_changing_ = false;
}

bool engine_stand_in::apply(const engine_order& order)
{
    if (order.action == "load_adapter")
        return adapters_.insert(order.argument).second;
    if (order.action == "load_model")
    {
        model_ = order.argument;
        adapters_.clear();
        scheduler_.cache().shrink_to(0);
        return true;
    }
    const bool is_role = order.argument == "prefill" ||
                         order.argument == "decode" ||
                         order.argument == "mixed";
    if (order.action != "set_role" || !is_role)
        return false;
    role_ = order.argument;
    scheduler_.set_role(role_);
    scheduler_.cache().shrink_to(0);
    return true;
}

void engine_stand_in::abort_active()
{
    for (const generation_pointer& item : scheduler_.active())
    {
        ++streams_aborted_by_change_;
        scheduler_.end(*item, generation_state::aborted);
    }
    progress_.notify_all();
}

// ========================================================================
// KV cache
// ========================================================================

void engine_stand_in::export_cache(http_exchange& exchange,
                                   boost::asio::yield_context yield)
{
    const nlohmann::json body = parse_object(exchange.request());
    const std::string hash =
        body.is_discarded() ? "" : body.value("prefix_hash", "");
    if (!scheduler_.cache().contains(hash))
        return send_json(exchange, 404, error_body("not_cached"), yield);
    send_json(exchange, 200,
              {{"prefix_hash", hash}, {"tokens", cache_block_tokens}}, yield);
}

void engine_stand_in::import_cache(http_exchange& exchange,
                                   boost::asio::yield_context yield)
{
    const nlohmann::json body = parse_object(exchange.request());
    const std::string hash =
        body.is_discarded() ? "" : body.value("prefix_hash", "");
    if (hash.empty())
        return send_json(exchange, 400, error_body("bad_piece"), yield);
    scheduler_.cache().store({hash});
    scheduler_.cache().shrink_to(scheduler_.free_kv_tokens());
    send_json(exchange, 200,
              {{"prefix_hash", hash}, {"tokens", cache_block_tokens}}, yield);
}

} // namespace hibiscusferry::stand_ins
