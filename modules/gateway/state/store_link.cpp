#include "gateway/state/store_link.hpp"

namespace hibiscusferry
{

namespace
{

/** News come about once a second; one look that is lost is no outage. */
constexpr std::chrono::milliseconds outage_after{1500};

/** As many failed calls in a row as one lost connection does not cause. */
constexpr unsigned failures_until_silent = 2;

} // namespace

store_link::store_link(process_core& core, fleet_state& fleet)
    : core_(core)
    , fleet_(fleet)
    , heard_at_(core.now())
{
}

void store_link::succeeded()
{
    failures_in_row_ = 0;
    heard("store", core_.now());
}

void store_link::heard_by(const std::string& relay, time_point at)
{
    heard("relay " + relay, at);
}

void store_link::heard(const std::string& source, time_point at)
{
    if (at <= heard_at_)
        return;
    const std::chrono::milliseconds silence =
        std::chrono::duration_cast<std::chrono::milliseconds>(at - heard_at_);
    heard_at_ = at;
    if (!is_lost_ || core_.now() - at > outage_after)
        return;
    is_lost_ = false;
    core_.journal().record(
        event_number::store_regained,
        {{"silent_ms", std::to_string(silence.count())}, {"source", source}});
    fleet_.catalogue().store_recovered(core_.now());
}

void store_link::failed(std::error_code error)
{
    core_.metrics().counter_of("hibiscusferry_store_failures_total").add();
    last_error_ = error;
    ++failures_in_row_;
    tick();
}

void store_link::tick()
{
    const std::chrono::milliseconds silence =
        std::chrono::duration_cast<std::chrono::milliseconds>(core_.now() -
                                                              heard_at_);
    if (is_lost_ || silence < outage_after)
        return;
    is_lost_ = true;
    core_.journal().record(event_number::store_lost,
                           {{"error", last_error_.message()},
                            {"silent_ms", std::to_string(silence.count())}});
    fleet_.catalogue().store_lost();
}

bool store_link::answers_here() const
{
    return failures_in_row_ < failures_until_silent;
}

} // namespace hibiscusferry
