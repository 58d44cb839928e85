#ifndef HIBISCUSFERRY_EXTRAS_BENCHES_ADMISSION_QUEUE_POLICIES_HPP
#define HIBISCUSFERRY_EXTRAS_BENCHES_ADMISSION_QUEUE_POLICIES_HPP

#include "admission/admission.hpp"
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

/** @file
    The fair queue and the queues with which the admission bench compares it.
*/
namespace hibiscusferry::bench
{

using seconds_double = std::chrono::duration<double>;

/** Converts seconds of virtual time into a time point. */
inline time_point time_at(double seconds)
{
    return time_point(std::chrono::duration_cast<boot_clock::duration>(
        seconds_double(seconds)));
}

/** Interface of the queues that are compared. */
class queue_policy
{
public:
    virtual ~queue_policy() = default;
    virtual void offer(const queued_request& request, time_point now) = 0;
    virtual std::optional<queued_request> take(time_point now) = 0;
    virtual void finish(const queued_request& request, double actual_cost) = 0;
};

class fair_policy final : public queue_policy
{
public:
    explicit fair_policy(std::uint32_t capacity)
        : queue_({capacity})
    {
    }

    void offer(const queued_request& request, time_point now) override
    {
        queue_.offer(request, now);
    }

    std::optional<queued_request> take(time_point now) override
    {
        queue_.expire(now);
        return queue_.take(now);
    }

    void finish(const queued_request& request, double actual_cost) override
    {
        queue_.finish(request.number, actual_cost);
    }

private:
    fair_queue queue_;
};

/** Serves requests in order of arrival and drops those that cannot finish
    before their deadline. */
class first_come_policy final : public queue_policy
{
public:
    explicit first_come_policy(std::uint32_t capacity)
        : capacity_(capacity)
    {
    }

    void offer(const queued_request& request, time_point) override
    {
        if (waiting_.size() < capacity_)
            waiting_.push_back(request);
    }

    std::optional<queued_request> take(time_point now) override
    {
        while (!waiting_.empty())
        {
            const queued_request next = waiting_.front();
            waiting_.pop_front();
            if (now + next.expected_run < next.deadline)
                return next;
        }
        return std::nullopt;
    }

    void finish(const queued_request&, double) override
    {
    }

private:
    std::size_t capacity_;
    std::deque<queued_request> waiting_;
};

/** Serves one request of each workspace in turn and drops those that cannot
    finish before their deadline. */
class round_robin_policy final : public queue_policy
{
public:
    explicit round_robin_policy(std::uint32_t capacity)
        : capacity_(capacity)
    {
    }

    void offer(const queued_request& request, time_point) override
    {
        if (size_ >= capacity_)
            return;
        std::deque<queued_request>& workspace_queue =
            waiting_[request.workspace];
        if (workspace_queue.empty())
            rotation_.push_back(request.workspace);
        workspace_queue.push_back(request);
        ++size_;
    }

    std::optional<queued_request> take(time_point now) override
    {
        while (size_ > 0)
        {
            const std::string workspace = rotation_.front();
            rotation_.pop_front();
            std::deque<queued_request>& workspace_queue = waiting_[workspace];
            const queued_request next = workspace_queue.front();
            workspace_queue.pop_front();
            --size_;
            if (!workspace_queue.empty())
                rotation_.push_back(workspace);
            if (now + next.expected_run < next.deadline)
                return next;
        }
        return std::nullopt;
    }

    void finish(const queued_request&, double) override
    {
    }

private:
    std::size_t capacity_;
    std::size_t size_ = 0;
    std::map<std::string, std::deque<queued_request>> waiting_;
    std::deque<std::string> rotation_;
};

using policy_factory = std::function<std::unique_ptr<queue_policy>()>;

inline std::map<std::string, policy_factory>
policy_factories(std::uint32_t capacity)
{
    return {{"fair_queue",
             [capacity]
             {
                 return std::make_unique<fair_policy>(capacity);
             }},
            {"first_come",
             [capacity]
             {
                 return std::make_unique<first_come_policy>(capacity);
             }},
            {"round_robin", [capacity]
             {
                 return std::make_unique<round_robin_policy>(capacity);
             }}};
}

} // namespace hibiscusferry::bench

#endif
