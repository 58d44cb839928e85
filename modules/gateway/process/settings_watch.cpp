#include "gateway/process/settings_watch.hpp"

#include <boost/asio/signal_set.hpp>
#include <csignal>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::seconds reload_period{5};

bool is_same(const host_settings& left, const host_settings& right)
{
    return left.retries.ratio == right.retries.ratio &&
           left.retries.slack == right.retries.slack &&
           left.retries.window == right.retries.window &&
           left.stop_grace_period == right.stop_grace_period &&
           left.min_order_interval == right.min_order_interval &&
           left.availability_zone == right.availability_zone &&
           left.region == right.region && left.regions == right.regions &&
           left.key_revocation_time == right.key_revocation_time;
}

} // namespace

settings_watch::settings_watch(process_core& core, fleet_state& fleet,
                               settings_source& source)
    : core_(core)
    , fleet_(fleet)
    , source_(source)
{
}

result<void> settings_watch::start()
{
    start_task(core_.context(),
               [this](boost::asio::yield_context yield)
               {
                   boost::asio::signal_set signals(core_.context(), SIGHUP);
                   unblock_signals({SIGHUP});
                   boost::system::error_code error;
                   while (!is_stopping_)
                   {
                       signals.async_wait(yield[error]);
                       if (!error)
                           reload("signal");
                   }
               });
    core_.repeat(reload_period, [this] { reload("period"); });
    return outcome::success();
}

void settings_watch::stop()
{
    is_stopping_ = true;
    block_signals({SIGHUP});
}

void settings_watch::reload(const std::string& cause)
{
    const result<host_settings> reloaded = source_.read();
    if (!reloaded)
    {
        if (source_.problem() != last_problem_)
            core_.journal().record(
                event_number::settings_unreadable,
                {{"cause", cause}, {"problem", source_.problem()}});
        last_problem_ = source_.problem();
        return;
    }
    last_problem_.clear();
    const bool is_changed = !is_same(reloaded.value(), fleet_.settings());
    if (!is_changed && cause == "period")
        return;
    fleet_.set_settings(reloaded.value());
    core_.set_drain_timeout(reloaded.value().stop_grace_period);
    core_.journal().record(
        event_number::settings_reloaded,
        {{"cause", cause}, {"changed", is_changed ? "yes" : "no"}});
}

} // namespace hibiscusferry
