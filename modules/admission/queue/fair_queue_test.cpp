#include "admission/queue/fair_queue_oracle.hpp"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>
#include <rapidcheck.h>

using namespace hibiscusferry;

namespace
{

constexpr time_point start{};
constexpr fair_queue_settings large_queue{100000};

queued_request make_request(request_number number, const std::string& workspace,
                            double cost, queue_lane lane = queue_lane::normal)
{
    return {number,
            workspace,
            lane,
            cost,
            start + std::chrono::hours(10),
            std::chrono::milliseconds(0)};
}

service_document document_with_weights(const std::vector<double>& weights)
{
    service_document document;
    document.limits.queue_length = large_queue.capacity;
    for (std::size_t index = 0; index < weights.size(); ++index)
    {
        workspace_entry entry;
        entry.name = std::to_string(index);
        entry.weight = weights[index];
        document.workspaces.push_back(entry);
    }
    return document;
}

/** Gives the fair_queue the interface of the oracle, so that a test can run
    on either of them. */
class product_queue
{
public:
    explicit product_queue(const std::vector<double>& weights)
        : queue_(large_queue)
    {
        queue_.configure(document_with_weights(weights), start);
    }

    void offer(const queued_request& request)
    {
        queue_.offer(request, start);
    }

    std::optional<queued_request> take()
    {
        return queue_.take(start);
    }

private:
    fair_queue queue_;
};

/** Returns the largest difference in service per weight between any two
    workspaces that have requests waiting all the time, divided by the
    theoretical bound of twice the largest cost per weight. The result is at
    most 1 if the bound holds. */
template <class Queue>
double max_gap_over_bound(Queue& queue, const std::vector<double>& weights,
                          std::uint64_t seed)
{
    constexpr int requests_each = 400;
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> cost(1, 100);
    double max_cost = 0;
    request_number number = 0;
    for (std::size_t workspace = 0; workspace < weights.size(); ++workspace)
    {
        for (int index = 0; index < requests_each; ++index)
        {
            const double sampled_cost = cost(random);
            max_cost = std::max(max_cost, sampled_cost / weights[workspace]);
            queue.offer(make_request(++number, std::to_string(workspace),
                                     sampled_cost));
        }
    }

    std::vector<double> served(weights.size(), 0);
    std::vector<int> remaining(weights.size(), requests_each);
    double max_gap = 0;
    while (*std::min_element(remaining.begin(), remaining.end()) > 1)
    {
        const std::optional<queued_request> dequeued = queue.take();
        const std::size_t workspace = std::stoul(dequeued->workspace);
        served[workspace] += dequeued->cost / weights[workspace];
        --remaining[workspace];
        const auto range = std::minmax_element(served.begin(), served.end());
        max_gap = std::max(max_gap, *range.second - *range.first);
    }
    return max_gap / (2 * max_cost);
}

struct queue_command
{
    int kind = 0;
    int workspace = 0;
    int cost = 1;
    int selection = 0;
};

std::ostream& operator<<(std::ostream& stream, const queue_command& command)
{
    return stream << "{" << command.kind << "," << command.workspace << ","
                  << command.cost << "," << command.selection << "}";
}

rc::Gen<queue_command> queue_commands()
{
    return rc::gen::build<queue_command>(
        rc::gen::set(&queue_command::kind, rc::gen::inRange(0, 8)),
        rc::gen::set(&queue_command::workspace, rc::gen::inRange(0, 5)),
        rc::gen::set(&queue_command::cost, rc::gen::inRange(1, 40)),
        rc::gen::set(&queue_command::selection, rc::gen::inRange(0, 100)));
}

/** Runs the commands on the fair_queue and on the oracle and compares their
    results. */
bool agrees_with_oracle(const std::vector<queue_command>& commands,
                        fair_queue_oracle::fault injected_fault)
{
    fair_queue queue(large_queue);
    fair_queue_oracle oracle(injected_fault);
    // Listed workspaces keep their state between their requests.
    queue.configure(document_with_weights({1, 1, 1, 1, 1}), start);
    std::vector<queued_request> running;
    request_number number = 0;
    for (const queue_command& command : commands)
    {
        const std::string workspace = std::to_string(command.workspace);
        const std::size_t selection =
            static_cast<std::size_t>(command.selection);
        if (command.kind <= 2)
        {
            const queued_request request =
                make_request(++number, workspace, command.cost);
            queue.offer(request, start);
            oracle.offer(request);
        }
        else if (command.kind <= 4)
        {
            const std::optional<queued_request> dequeued = queue.take(start);
            const std::optional<queued_request> expected = oracle.take();
            if (dequeued.has_value() != expected.has_value())
                return false;
            if (!dequeued)
                continue;
            if (dequeued->number != expected->number)
                return false;
            running.push_back(*dequeued);
        }
        else if (command.kind == 5 && !running.empty())
        {
            const queued_request ended = running[selection % running.size()];
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(
                                                selection % running.size()));
            queue.finish(ended.number, command.cost);
            oracle.correct(ended.workspace, command.cost - ended.cost);
        }
        else if (command.kind == 6 && oracle.size() > 0)
        {
            const request_number cancelled =
                oracle.waiting()[selection % oracle.size()].number;
            if (!queue.cancel(cancelled))
                return false;
            oracle.cancel(cancelled);
        }
        if (queue.size() != oracle.size())
            return false;
    }
    return true;
}

bool check_against_oracle(fair_queue_oracle::fault injected_fault)
{
    setenv("RC_PARAMS", "seed=15 max_success=400 max_size=120", 1);
    return rc::check("fair_queue agrees with its oracle",
                     [injected_fault]
                     {
                         const std::vector<queue_command> commands =
                             *rc::gen::container<std::vector<queue_command>>(
                                 queue_commands());
                         RC_ASSERT(
                             agrees_with_oracle(commands, injected_fault));
                     });
}

} // namespace

BOOST_AUTO_TEST_SUITE(fair_queue_test)

BOOST_AUTO_TEST_CASE(backlogged_workspaces_stay_within_the_fairness_bound)
{
    const std::vector<double> weights = {1, 1, 2, 0.5, 4};
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        product_queue queue(weights);
        BOOST_TEST(max_gap_over_bound(queue, weights, seed) <= 1.0);
    }
}

BOOST_AUTO_TEST_CASE(first_come_first_served_exceeds_the_bound)
{
    fair_queue_oracle injected_fault(
        fair_queue_oracle::fault::first_come_first_served);
    BOOST_TEST(max_gap_over_bound(injected_fault, {1, 1, 1}, 1) > 1.0);
}

BOOST_AUTO_TEST_CASE(agrees_with_the_oracle_over_random_commands)
{
    BOOST_TEST(check_against_oracle(fair_queue_oracle::fault::none));
}

BOOST_AUTO_TEST_CASE(the_oracle_detects_injected_faults)
{
    BOOST_TEST(!check_against_oracle(
        fair_queue_oracle::fault::first_come_first_served));
    BOOST_TEST(
        !check_against_oracle(fair_queue_oracle::fault::accumulates_credit));
}

BOOST_AUTO_TEST_CASE(a_flood_of_urgent_requests_does_not_delay_other_workspaces)
{
    fair_queue queue(large_queue);
    request_number number = 0;
    for (int index = 0; index < 200; ++index)
        queue.offer(make_request(++number, "flood", 10, queue_lane::urgent),
                    start);
    for (int index = 0; index < 20; ++index)
        queue.take(start);
    queue.offer(make_request(++number, "driver", 10, queue_lane::urgent),
                start);
    const request_number urgent = number;
    bool is_served = false;
    for (int index = 0; index < 2; ++index)
        is_served = is_served || queue.take(start)->number == urgent;
    BOOST_TEST(is_served);
}

BOOST_AUTO_TEST_CASE(normal_requests_keep_their_share_beside_urgent_requests)
{
    fair_queue queue(large_queue);
    request_number number = 0;
    for (int index = 0; index < 1000; ++index)
    {
        queue.offer(make_request(++number, "a", 3, queue_lane::urgent), start);
        queue.offer(make_request(++number, "b", 20), start);
    }
    double normal = 0;
    double total = 0;
    while (queue.size(queue_lane::urgent) > 0)
    {
        const queued_request dequeued = *queue.take(start);
        total += dequeued.cost;
        normal += dequeued.lane == queue_lane::normal ? dequeued.cost : 0;
    }
    BOOST_TEST(std::abs(normal / total - large_queue.normal_share) < 0.01);
}

BOOST_AUTO_TEST_CASE(an_urgent_flood_does_not_starve_normal_requests)
{
    fair_queue queue(large_queue);
    request_number number = 0;
    for (int index = 0; index < 4000; ++index)
    {
        queue.offer(make_request(++number, "flood", 10, queue_lane::urgent),
                    start);
        for (const char* other : {"a", "b", "c", "d", "e", "f", "g"})
            queue.offer(make_request(++number, other, 10), start);
    }
    int flood_count = 0;
    constexpr int takes = 4000;
    for (int index = 0; index < takes; ++index)
        flood_count += queue.take(start)->workspace == "flood" ? 1 : 0;
    // The flood gets its burst and then four times the fair share of one of
    // eight workspaces. Without this limit it would get four fifths of the
    // service.
    const double burst = large_queue.urgent_burst / 10;
    const double factor = large_queue.urgent_factor;
    BOOST_TEST(flood_count <= burst + takes * factor / (factor + 7) + 10);
}

BOOST_AUTO_TEST_CASE(a_full_queue_sheds_the_workspace_with_the_largest_backlog)
{
    fair_queue queue({10});
    for (request_number number = 1; number <= 10; ++number)
        queue.offer(make_request(number, "heavy", 5), start);
    const std::vector<request_refusal> shed =
        queue.offer(make_request(11, "light", 50), start);
    BOOST_REQUIRE(shed.size() == 1);
    BOOST_TEST(shed[0].number == 10);
    BOOST_TEST((shed[0].reason == refusal_reason::queue_full));
    BOOST_TEST(shed[0].retry_after.count() >= 1);
    const std::vector<request_refusal> own_refusals =
        queue.offer(make_request(12, "heavy", 1), start);
    BOOST_REQUIRE(own_refusals.size() == 1);
    BOOST_TEST(own_refusals[0].number == 12);
}

BOOST_AUTO_TEST_CASE(each_lane_keeps_half_of_a_full_queue)
{
    fair_queue queue({10});
    request_number number = 0;
    for (int index = 0; index < 30; ++index)
        queue.offer(make_request(++number, "a", 1), start);
    for (int index = 0; index < 30; ++index)
        queue.offer(make_request(++number, "b", 1, queue_lane::urgent), start);
    BOOST_TEST(queue.size(queue_lane::urgent) == 5);
    BOOST_TEST(queue.size(queue_lane::normal) == 5);
}

BOOST_AUTO_TEST_CASE(
    a_request_that_would_exceed_its_deadline_is_refused_immediately)
{
    fair_queue queue(large_queue);
    request_number number = 0;
    time_point now = start;
    for (int index = 0; index < 100; ++index)
        queue.offer(make_request(++number, "a", 10), now);
    for (int index = 0; index < 50; ++index)
    {
        now += std::chrono::milliseconds(100);
        queue.take(now);
    }
    // 500 tokens are waiting and are served at 100 per second.
    queued_request tight_request = make_request(++number, "a", 10);
    tight_request.deadline = now + std::chrono::seconds(2);
    const std::vector<request_refusal> refusals =
        queue.offer(tight_request, now);
    BOOST_REQUIRE(refusals.size() == 1);
    BOOST_TEST(refusals[0].number == number);
    BOOST_TEST((refusals[0].reason == refusal_reason::too_late));

    // At the same rate, the request is accepted after Retry-After.
    const std::chrono::seconds backoff = refusals[0].retry_after;
    BOOST_TEST(backoff.count() <= 60);
    for (std::int64_t step = 0; step < backoff.count() * 10; ++step)
    {
        now += std::chrono::milliseconds(100);
        queue.take(now);
    }
    tight_request.deadline = now + std::chrono::seconds(2);
    BOOST_TEST(queue.offer(tight_request, now).empty());

    // A workspace with little waiting is not refused because of the backlog
    // of "a".
    for (int index = 0; index < 100; ++index)
        queue.offer(make_request(++number, "a", 10), now);
    queued_request light_request = make_request(++number, "b", 10);
    light_request.deadline = now + std::chrono::seconds(1);
    BOOST_TEST(queue.offer(light_request, now).empty());
}

BOOST_AUTO_TEST_CASE(an_expired_request_is_refused_at_its_expiry)
{
    fair_queue queue(large_queue);
    queued_request request = make_request(1, "a", 1);
    request.deadline = start + std::chrono::seconds(5);
    request.expected_run = std::chrono::seconds(1);
    queue.offer(request, start);
    const time_point expiry = start + std::chrono::seconds(4);
    BOOST_TEST((queue.next_expiry() == expiry));
    BOOST_TEST(queue.expire(expiry - std::chrono::nanoseconds(1)).empty());
    const std::vector<request_refusal> refusals = queue.expire(expiry);
    BOOST_REQUIRE(refusals.size() == 1);
    BOOST_TEST((refusals[0].reason == refusal_reason::deadline_passed));
    BOOST_TEST(queue.size() == 0);
}

BOOST_AUTO_TEST_CASE(a_request_that_did_not_run_is_not_charged)
{
    fair_queue queue(large_queue);
    queue.configure(document_with_weights({1}), start);
    queue.offer(make_request(1, "0", 30), start);
    queue.offer(make_request(2, "0", 30), start);
    const queued_request dequeued = *queue.take(start);
    BOOST_TEST(queue.workspace_virtual_time("0", queue_lane::normal) == 30);
    queue.requeue(dequeued, start);
    BOOST_TEST(queue.workspace_virtual_time("0", queue_lane::normal) == 0);
    BOOST_TEST(queue.take(start)->number == 1);
    queue.finish(1, 50);
    BOOST_TEST(queue.workspace_virtual_time("0", queue_lane::normal) == 50);
}

BOOST_AUTO_TEST_CASE(marking_requests_as_urgent_gains_no_share)
{
    fair_queue queue({100000, 0.5});
    request_number number = 0;
    for (int index = 0; index < 500; ++index)
    {
        queue.offer(make_request(++number, "sly", 10, queue_lane::urgent),
                    start);
        queue.offer(make_request(++number, "sly", 10), start);
        queue.offer(make_request(++number, "plain", 10), start);
    }
    double other_count = 0;
    for (int index = 0; index < 600; ++index)
        other_count += queue.take(start)->workspace == "plain" ? 1 : 0;
    BOOST_TEST(other_count / 600 > 0.45);
}

BOOST_AUTO_TEST_SUITE_END()
