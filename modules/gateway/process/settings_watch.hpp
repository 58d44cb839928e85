#ifndef HIBISCUSFERRY_GATEWAY_PROCESS_SETTINGS_WATCH_HPP
#define HIBISCUSFERRY_GATEWAY_PROCESS_SETTINGS_WATCH_HPP

#include "gateway/state/fleet_state.hpp"

namespace hibiscusferry
{

/** Reloads the settings on SIGHUP and periodically. The settings in force are
    kept if the new ones cannot be read. */
class settings_watch final : public kernel_service
{
public:
    static constexpr const char* name = "settings_watch";

    settings_watch(process_core& core, fleet_state& fleet,
                   settings_source& source);

    result<void> start() override;
    void stop() override;

private:
    void reload(const std::string& cause);

    process_core& core_;
    fleet_state& fleet_;
    settings_source& source_;
    std::string last_problem_;
    bool is_stopping_ = false;
};

} // namespace hibiscusferry

#endif
