#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_REQUEST_ADMISSIONS_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_REQUEST_ADMISSIONS_HPP

#include "serving/scheduling/generation_request.hpp"
#include <memory>
#include <vector>

namespace hibiscusferry
{

/** The admissions of one request to targets that state a limit on their
    requests. An admission that is not used is returned. */
class request_admissions
{
public:
    request_admissions() = default;
    ~request_admissions();
    request_admissions(const request_admissions&) = delete;
    request_admissions& operator=(const request_admissions&) = delete;

    /** Acquires admissions to all the targets that state a limit, except those
        held already. For the other parameters, see
        shared_request_limit::try_acquire().
        @param targets  may contain null pointers
        @returns the first target that does not admit the request, or null */
    std::shared_ptr<target_view> acquire(const target_list& targets,
                                         unsigned rank, std::size_t live_hosts,
                                         double random_value, time_point now);

    /** Returns the admissions to all other targets.
        @param targets  may contain null pointers */
    void retain(const target_list& targets);

    bool contains(const target_view& target) const;

    /** Records that the request is sent to a target. */
    void use(target_view& target, time_point now);

private:
    struct admission
    {
        std::shared_ptr<target_view> target;
        time_point acquired_at{};
    };

    std::vector<admission> admissions_;
};

} // namespace hibiscusferry

#endif
