#include "stand_ins/engine/engine_stand_in.hpp"

#include <gflags/gflags.h>

DEFINE_double(prefill_tokens_per_second, 20000,
              "prefill throughput, in tokens per second");
DEFINE_double(decode_step_ms, 20,
              "duration of a step without its prefill, in milliseconds");
DEFINE_uint32(max_batch, 64,
              "maximum number of generations that run concurrently");
DEFINE_uint64(kv_tokens, 200000, "capacity of the KV cache, in tokens");
DEFINE_string(role, "mixed", "role of the engine: prefill, decode or mixed");
DEFINE_string(model, "lunch-assistant", "name of the loaded model");
DEFINE_string(service, "", "name of the service, reported by /control/counts");
DEFINE_bool(checks_fencing, true, "refuse orders with stale fencing numbers");
DEFINE_int32(
    change_ms, 3000,
    "time for which a change makes the engine unavailable, in milliseconds");
DEFINE_int32(load_report_lag_ms, 500,
             "interval between updates of the load report, in milliseconds");
DEFINE_int32(cache_event_lag_ms, 1000,
             "delay before cache events are published, in milliseconds");
DEFINE_uint32(cache_event_loss_percent, 5,
              "percentage of cache events that are lost");
DEFINE_uint64(
    max_waiting, 256,
    "maximum number of waiting generations before requests are refused");

namespace
{

hibiscusferry::stand_ins::engine_settings settings_from_flags()
{
    constexpr double microseconds_per_millisecond = 1000;
    hibiscusferry::stand_ins::engine_settings settings;
    settings.costs.prefill_tokens_per_second = FLAGS_prefill_tokens_per_second;
    settings.costs.decode_step =
        std::chrono::microseconds(static_cast<std::int64_t>(
            FLAGS_decode_step_ms * microseconds_per_millisecond));
    settings.costs.max_running = FLAGS_max_batch;
    settings.costs.kv_tokens = FLAGS_kv_tokens;
    settings.role = FLAGS_role;
    settings.model = FLAGS_model;
    settings.service = FLAGS_service;
    settings.checks_fencing = FLAGS_checks_fencing;
    settings.change_duration = std::chrono::milliseconds(FLAGS_change_ms);
    settings.load_report_lag =
        std::chrono::milliseconds(FLAGS_load_report_lag_ms);
    settings.cache_event_lag =
        std::chrono::milliseconds(FLAGS_cache_event_lag_ms);
    settings.cache_event_loss_percent = FLAGS_cache_event_loss_percent;
    settings.max_waiting = FLAGS_max_waiting;
    return settings;
}

} // namespace

int main(int argument_count, char** arguments)
{
    using namespace hibiscusferry;
    stand_ins::parse_command_line(
        argument_count, arguments,
        "simulates a language-model engine with a cost model");
    boost::asio::io_context context;
    stand_ins::engine_stand_in engine(context, settings_from_flags());
    engine.start();
    stand_ins::run_stand_in(
        context,
        [&engine](http_exchange& exchange, boost::asio::yield_context yield)
        { engine.serve(exchange, yield); },
        [&engine] { engine.start_draining(); });
}
