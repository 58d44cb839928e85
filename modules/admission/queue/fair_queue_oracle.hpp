#ifndef HIBISCUSFERRY_ADMISSION_QUEUE_FAIR_QUEUE_ORACLE_HPP
#define HIBISCUSFERRY_ADMISSION_QUEUE_FAIR_QUEUE_ORACLE_HPP

#include "admission/admission.hpp"
#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hibiscusferry
{

/** A simple reference implementation of a fair_queue with one lane, for
    tests. All workspaces have the weight 1. It can inject a fault to show that
    the tests detect it. */
class fair_queue_oracle
{
public:
    enum class fault
    {
        none,
        first_come_first_served, ///< serves requests in order of arrival
        accumulates_credit ///< does not raise an idle workspace's virtual time
    };

    explicit fair_queue_oracle(fault injected_fault = fault::none)
        : injected_fault_(injected_fault)
    {
    }

    void offer(const queued_request& request)
    {
        if (!has_waiting(request.workspace) &&
            injected_fault_ != fault::accumulates_credit)
        {
            double start_virtual_time = last_served_virtual_time_;
            if (!waiting_.empty())
                start_virtual_time = min_virtual_time();
            double& virtual_time = virtual_times_[request.workspace];
            virtual_time = std::max(virtual_time, start_virtual_time);
        }
        waiting_.push_back(request);
    }

    std::optional<queued_request> take()
    {
        if (waiting_.empty())
            return std::nullopt;
        auto next = waiting_.begin();
        if (injected_fault_ != fault::first_come_first_served)
        {
            next = std::min_element(
                waiting_.begin(), waiting_.end(),
                [this](const queued_request& left, const queued_request& right)
                {
                    return sort_key(left.workspace) < sort_key(right.workspace);
                });
        }
        const queued_request dequeued = *next;
        waiting_.erase(next);
        last_served_virtual_time_ = std::max(
            last_served_virtual_time_, virtual_times_[dequeued.workspace]);
        virtual_times_[dequeued.workspace] += dequeued.cost;
        return dequeued;
    }

    void cancel(request_number number)
    {
        waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(),
                                      [number](const queued_request& request)
                                      { return request.number == number; }),
                       waiting_.end());
    }

    void correct(const std::string& workspace, double difference)
    {
        virtual_times_[workspace] += difference;
    }

    std::size_t size() const
    {
        return waiting_.size();
    }

    const std::vector<queued_request>& waiting() const
    {
        return waiting_;
    }

private:
    std::pair<double, std::string> sort_key(const std::string& workspace)
    {
        return {virtual_times_[workspace], workspace};
    }

    bool has_waiting(const std::string& workspace) const
    {
        return std::any_of(waiting_.begin(), waiting_.end(),
                           [&workspace](const queued_request& request)
                           { return request.workspace == workspace; });
    }

    double min_virtual_time()
    {
        double min_time = virtual_times_[waiting_.front().workspace];
        for (const queued_request& request : waiting_)
            min_time = std::min(min_time, virtual_times_[request.workspace]);
        return min_time;
    }

    fault injected_fault_;
    std::vector<queued_request> waiting_;
    std::map<std::string, double> virtual_times_;
    double last_served_virtual_time_ = 0;
};

} // namespace hibiscusferry

#endif
