#ifndef HIBISCUSFERRY_ROLES_MODEL_ENGINE_REPORT_HPP
#define HIBISCUSFERRY_ROLES_MODEL_ENGINE_REPORT_HPP

#include "foundation/foundation.hpp"
#include "roles/model/engine_role.hpp"
#include <cstdint>
#include <string>

namespace hibiscusferry
{

/** What an engine says of its own state. */
enum class engine_state
{
    serving,
    changing, ///< away for a change of role, model or adapter
    leaving   ///< takes no new work and will go
};

/** One load report of an engine, as the policy reads it. */
struct engine_report
{
    std::string engine;
    std::string model;
    std::string availability_zone;
    engine_role role = engine_role::mixed;
    engine_state state = engine_state::serving;
    std::uint32_t active_streams = 0;
    /** When the engine measured it, on the receiver's clock: the time of
        receipt less the reported age. */
    time_point measured_at;
};

} // namespace hibiscusferry

#endif
