#include "gateway/state/store_link.hpp"

namespace hibiscusferry
{

namespace
{

/** Calls go out about once a second; one that is lost is no outage. */
constexpr std::chrono::milliseconds outage_after{1500};

} // namespace

store_link::store_link(process_core& core, fleet_state& fleet)
    : core_(core)
    , fleet_(fleet)
    , last_success_(core.now())
{
}

void store_link::succeeded()
{
    if (is_lost_)
    {
        core_.journal().record(
            event_number::store_regained,
            {{"silent_ms", std::to_string(silence().count())}});
        fleet_.catalogue().store_returned(core_.now());
    }
    is_lost_ = false;
    last_success_ = core_.now();
}

void store_link::failed(std::error_code error)
{
    core_.metrics().counter_of("hibiscusferry_store_failures_total").add();
    if (is_lost_ || silence() < outage_after)
        return;
    is_lost_ = true;
    core_.journal().record(event_number::store_lost,
                           {{"error", error.message()},
                            {"silent_ms", std::to_string(silence().count())}});
    fleet_.catalogue().store_lost();
}

bool store_link::is_lost() const
{
    return is_lost_;
}

std::chrono::milliseconds store_link::silence() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(core_.now() -
                                                                 last_success_);
}

} // namespace hibiscusferry
