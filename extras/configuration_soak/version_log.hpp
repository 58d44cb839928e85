#ifndef HIBISCUSFERRY_EXTRAS_CONFIGURATION_SOAK_VERSION_LOG_HPP
#define HIBISCUSFERRY_EXTRAS_CONFIGURATION_SOAK_VERSION_LOG_HPP

#include "deployment.hpp"
#include <map>
#include <mutex>
#include <string>

namespace hibiscusferry::soak
{

/** Writes configurations, each of which adds a route, and knows which of them
    must be in force. Thread-safe. */
class version_log
{
public:
    /** @param max_delay  the time within which a version must be in force */
    version_log(review::platform_store& store, review::event_record& record,
                review::milliseconds max_delay);

    /** Writes the next version. */
    void write_next();

    /** The newest version that every undisturbed host must have at a time, in
        milliseconds since the start of the run. */
    int due_version(std::int64_t time_ms) const;

    /** A path that only a version and later ones have a route for. */
    static std::string path_of(int version);

private:
    review::platform_store& store_;
    review::event_record& record_;
    const std::int64_t max_delay_ms_;
    mutable std::mutex mutex_;
    /** The versions by the time of their acknowledgement. */
    std::map<std::int64_t, int> versions_;
    int last_version_ = 0;
};

} // namespace hibiscusferry::soak

#endif
