#ifndef HIBISCUSFERRY_EXTRAS_CONFIGURATION_SOAK_HOST_DISTURBANCES_HPP
#define HIBISCUSFERRY_EXTRAS_CONFIGURATION_SOAK_HOST_DISTURBANCES_HPP

#include <cstdint>
#include <mutex>
#include <optional>

namespace hibiscusferry::soak
{

/** The disturbances of one host. Thread-safe. */
class host_disturbances
{
public:
    void begin();
    /** @param now_ms  milliseconds since the start of the run */
    void end(std::int64_t now_ms);

    /** When the last disturbance ended, in milliseconds since the start of the
        run; none while there is one. */
    std::optional<std::int64_t> undisturbed_since() const;

private:
    mutable std::mutex mutex_;
    int present_ = 0;
    std::int64_t last_end_ms_ = 0;
};

} // namespace hibiscusferry::soak

#endif
