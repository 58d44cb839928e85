#ifndef HIBISCUSFERRY_GATEWAY_DUTIES_USAGE_RECORDER_HPP
#define HIBISCUSFERRY_GATEWAY_DUTIES_USAGE_RECORDER_HPP

#include "foundation/foundation.hpp"
#include <string>

namespace hibiscusferry
{

/** Records the requests that began to run at targets. */
class usage_recorder
{
public:
    virtual ~usage_recorder() = default;

    /** Records a request of a workspace; to be called once for each request of
        a caller.
        @param at  when it began to run */
    virtual void record_start(const std::string& workspace, time_point at) = 0;
};

} // namespace hibiscusferry

#endif
