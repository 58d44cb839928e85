#include "configuration_soak/version_log.hpp"

#include "soak/traffic.hpp"

#include <algorithm>
#include <iterator>

namespace hibiscusferry::soak
{

namespace
{

/** Routes that a version has beside those that stay. Each is there for longer
    than it may take to be in force. */
constexpr int added_routes = 60;

} // namespace

version_log::version_log(review::platform_store& store,
                         review::event_record& record,
                         review::milliseconds max_delay)
    : store_(store)
    , record_(record)
    , max_delay_ms_(max_delay.count())
{
}

void version_log::write_next()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    ++last_version_;
    nlohmann::json document = configuration(last_version_, 100, false);
    for (int version = std::max(1, last_version_ - added_routes);
         version <= last_version_; ++version)
    {
        nlohmann::json route = document["routes"].front();
        route["name"] = "added-" + std::to_string(version);
        route["prefix"] = path_of(version);
        document["routes"].push_back(std::move(route));
    }
    store_.put("op", "config", document.dump());
    versions_[record_.now_ms()] = last_version_;
    record_.add("version " + std::to_string(last_version_));
}

int version_log::due_version(std::int64_t time_ms) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto later = versions_.upper_bound(time_ms - max_delay_ms_);
    return later == versions_.begin() ? 0 : std::prev(later)->second;
}

std::string version_log::path_of(int version)
{
    return "/added/" + std::to_string(version) + "/";
}

} // namespace hibiscusferry::soak
