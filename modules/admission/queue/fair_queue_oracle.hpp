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

/** What a fair_queue of one lane must do, as plainly as it can be said; for
    tests. All workspaces have the weight 1. A switch plants a fault. */
class fair_queue_oracle
{
public:
    enum class fault
    {
        none,
        first_come,  ///< serves in order of arrival
        banks_credit ///< does not lift a workspace that was idle
    };

    explicit fair_queue_oracle(fault planted = fault::none)
        : planted_(planted)
    {
    }

    void offer(const queued_request& request)
    {
        if (!waits(request.workspace) && planted_ != fault::banks_credit)
        {
            double lifted = floor_;
            if (!waiting_.empty())
                lifted = counter_of_least_served();
            double& counter = counters_[request.workspace];
            counter = std::max(counter, lifted);
        }
        waiting_.push_back(request);
    }

    std::optional<queued_request> take()
    {
        if (waiting_.empty())
            return std::nullopt;
        auto next = waiting_.begin();
        if (planted_ != fault::first_come)
        {
            next = std::min_element(
                waiting_.begin(), waiting_.end(),
                [this](const queued_request& left, const queued_request& right)
                { return turn(left.workspace) < turn(right.workspace); });
        }
        const queued_request taken = *next;
        waiting_.erase(next);
        floor_ = std::max(floor_, counters_[taken.workspace]);
        counters_[taken.workspace] += taken.cost;
        return taken;
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
        counters_[workspace] += difference;
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
    std::pair<double, std::string> turn(const std::string& workspace)
    {
        return {counters_[workspace], workspace};
    }

    bool waits(const std::string& workspace) const
    {
        return std::any_of(waiting_.begin(), waiting_.end(),
                           [&workspace](const queued_request& request)
                           { return request.workspace == workspace; });
    }

    double counter_of_least_served()
    {
        double least = counters_[waiting_.front().workspace];
        for (const queued_request& request : waiting_)
            least = std::min(least, counters_[request.workspace]);
        return least;
    }

    fault planted_;
    std::vector<queued_request> waiting_;
    std::map<std::string, double> counters_;
    double floor_ = 0;
};

} // namespace hibiscusferry

#endif
