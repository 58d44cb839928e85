#ifndef HIBISCUSFERRY_ROLES_MODEL_ENGINE_REPORT_HPP
#define HIBISCUSFERRY_ROLES_MODEL_ENGINE_REPORT_HPP

#include "foundation/foundation.hpp"
#include "roles/model/engine_role.hpp"
#include <cstdint>
#include <string>

namespace hibiscusferry
{

/** The state that an engine reports for itself. */
enum class engine_state
{
    serving,
    changing, ///< unavailable during a change of role, model or adapter
    leaving   ///< accepts no new requests and will stop
};

/** The fields of an engine's load report that the role policy uses. */
struct engine_report
{
    std::string engine;
    std::string model;
    std::string availability_zone;
    engine_role role = engine_role::mixed;
    engine_state state = engine_state::serving;
    std::uint32_t active_streams = 0;
    /** The time at which the engine took the measurement, on the receiver's
        clock: the time of receipt minus the reported age. */
    time_point measured_at;
};

} // namespace hibiscusferry

#endif
