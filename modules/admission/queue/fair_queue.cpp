#include "admission/queue/fair_queue.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace hibiscusferry
{

namespace
{

constexpr double min_weight = 1e-3;
constexpr double min_cost = 1e-6;
constexpr std::chrono::seconds max_retry_after{60};

} // namespace

fair_queue::fair_queue(const fair_queue_settings& settings)
    : settings_(settings)
{
    assert(settings.capacity > 0);
    assert(settings.normal_share > 0 && settings.normal_share < 1);
}

std::vector<request_refusal>
fair_queue::configure(const service_document& document, time_point)
{
    settings_.capacity = std::max(1U, document.limits.queue_length);
    for (workspace_state& state : workspaces_)
        state.listed = false;
    for (const workspace_entry& listed : document.workspaces)
    {
        const std::uint32_t workspace = index_of(listed.name);
        workspace_state& state = workspaces_[workspace];
        state.weight = std::max(min_weight, listed.weight);
        state.listed = true;
        urgent_.weight_changed(workspace, state.weight);
        normal_.weight_changed(workspace, state.weight);
    }
    for (std::uint32_t workspace = 0; workspace < workspaces_.size();
         ++workspace)
        remove_if_idle(workspace);

    std::vector<request_refusal> refusals;
    shed_excess(queue_lane::normal, refusals);
    return refusals;
}

std::vector<request_refusal> fair_queue::offer(const queued_request& request,
                                               time_point now)
{
    std::vector<request_refusal> refusals;
    const std::chrono::milliseconds wait =
        expected_wait(request.workspace, request.lane, request.cost);
    if (now + wait + request.expected_run > request.deadline)
    {
        refusals.push_back(refuse(request, refusal_reason::too_late));
        return refusals;
    }
    enqueue(request, false);
    shed_excess(request.lane, refusals);
    return refusals;
}

std::optional<queued_request> fair_queue::take(time_point now)
{
    if (waiting_.size() == 0)
        return std::nullopt;

    const selection selected = select_next();
    const std::uint32_t slot =
        waiting_.first(selected.workspace, selected.lane);
    queued_request request = waiting_.request(slot);
    charges_.emplace(request.number,
                     charge{selected.workspace, selected.lane, request.cost});
    charge_selection(selected, request.cost);
    remove(slot);
    rate_.record_departure(request.cost, waiting_.size() > 0, now);
    return request;
}

void fair_queue::requeue(const queued_request& request, time_point)
{
    finish(request.number, 0);
    enqueue(request, true);
}

std::vector<request_refusal> fair_queue::expire(time_point now)
{
    std::vector<request_refusal> refusals;
    while (waiting_.size() > 0)
    {
        const std::uint32_t slot = waiting_.first_to_expire();
        if (waiting_.expiry(slot) > now)
            break;
        refusals.push_back(refuse(slot, refusal_reason::deadline_passed));
    }
    return refusals;
}

std::optional<time_point> fair_queue::next_expiry() const
{
    if (waiting_.size() == 0)
        return std::nullopt;
    return waiting_.expiry(waiting_.first_to_expire());
}

bool fair_queue::cancel(request_number number)
{
    const std::uint32_t slot = waiting_.find(number);
    if (slot == waiting_requests::none)
        return false;
    const std::uint32_t workspace = waiting_.workspace(slot);
    remove(slot);
    remove_if_idle(workspace);
    return true;
}

void fair_queue::finish(request_number number, double actual_cost)
{
    const auto entry = charges_.find(number);
    if (entry == charges_.end())
        return;
    const charge charged = entry->second;
    charges_.erase(entry);
    --workspaces_[charged.workspace].running;
    lane_of(charged.lane)
        .charge(charged.workspace, actual_cost - charged.cost,
                workspaces_[charged.workspace].weight);
    remove_if_idle(charged.workspace);
}

std::size_t fair_queue::size() const
{
    return waiting_.size();
}

std::size_t fair_queue::size(queue_lane lane) const
{
    return waiting_.size(lane);
}

std::optional<double> fair_queue::measured_rate() const
{
    return rate_.tokens_per_second();
}

std::chrono::milliseconds
fair_queue::expected_wait(const std::string& workspace, queue_lane lane,
                          double cost) const
{
    const std::optional<double> rate = rate_.tokens_per_second();
    if (!rate || *rate <= 0 || waiting_.size() == 0)
        return std::chrono::milliseconds(0);

    const std::optional<std::uint32_t> workspace_index = find(workspace);
    const double weight =
        workspace_index ? workspaces_[*workspace_index].weight : 1.0;
    const workspace_schedule& own_lane = lane_of(lane);
    const double workspace_cost =
        cost + (workspace_index ? own_lane.waiting_cost(*workspace_index) : 0);
    const double cost_ahead =
        max_wait_cost(own_lane, workspace_cost, weight) - cost;

    // While requests wait in both lanes, each lane receives its share of the
    // rate. The wait never exceeds the time to serve all requests of both.
    double tokens = cost_ahead;
    if (lane == queue_lane::urgent && waiting_.size(queue_lane::normal) > 0)
    {
        tokens = std::min(cost_ahead / (1 - settings_.normal_share),
                          cost_ahead + normal_.waiting_cost());
    }
    else if (lane == queue_lane::normal)
    {
        tokens = std::min((cost_ahead + cost) / settings_.normal_share,
                          cost_ahead + urgent_.waiting_cost());
    }
    const std::chrono::duration<double> wait(std::max(0.0, tokens) / *rate);
    return std::chrono::duration_cast<std::chrono::milliseconds>(wait);
}

double fair_queue::workspace_virtual_time(const std::string& workspace,
                                          queue_lane lane) const
{
    const std::optional<std::uint32_t> workspace_index = find(workspace);
    return workspace_index ? lane_of(lane).virtual_time(*workspace_index) : 0;
}

// ------------------------------------------------------------------------
// Workspaces

std::optional<std::uint32_t>
fair_queue::find(const std::string& workspace) const
{
    const auto index = indexes_.find(workspace);
    if (index == indexes_.end())
        return std::nullopt;
    return index->second;
}

std::uint32_t fair_queue::index_of(const std::string& workspace)
{
    const std::optional<std::uint32_t> workspace_index = find(workspace);
    if (workspace_index)
        return *workspace_index;

    std::uint32_t index = 0;
    if (free_workspaces_.empty())
    {
        index = static_cast<std::uint32_t>(workspaces_.size());
        workspaces_.emplace_back();
    }
    else
    {
        index = free_workspaces_.back();
        free_workspaces_.pop_back();
    }
    workspaces_[index] = workspace_state{workspace, 1.0, 0, 0, false};
    urgent_.reset(index);
    normal_.reset(index);
    indexes_.emplace(workspace, index);
    return index;
}

void fair_queue::remove_if_idle(std::uint32_t workspace)
{
    workspace_state& state = workspaces_[workspace];
    const bool has_waiting =
        waiting_.first(workspace, queue_lane::urgent) !=
            waiting_requests::none ||
        waiting_.first(workspace, queue_lane::normal) != waiting_requests::none;
    if (state.listed || state.running > 0 || has_waiting || state.name.empty())
        return;
    indexes_.erase(state.name);
    state = workspace_state{};
    free_workspaces_.push_back(workspace);
}

// ------------------------------------------------------------------------
// Lanes

workspace_schedule& fair_queue::lane_of(queue_lane lane)
{
    return lane == queue_lane::urgent ? urgent_ : normal_;
}

const workspace_schedule& fair_queue::lane_of(queue_lane lane) const
{
    return lane == queue_lane::urgent ? urgent_ : normal_;
}

fair_queue::selection fair_queue::select_next() const
{
    if (waiting_.size(queue_lane::normal) == 0)
        return {queue_lane::urgent, *urgent_.least_served()};

    const selection normal{queue_lane::normal,
                           normal_.least_served().value_or(0)};
    if (waiting_.size(queue_lane::urgent) == 0 ||
        normal_credit_ >= normal_.first_cost(normal.workspace))
    {
        return normal;
    }
    const std::optional<std::uint32_t> urgent =
        urgent_.least_served_of([this](std::uint32_t workspace)
                                { return is_within_urgent_share(workspace); });
    return urgent ? selection{queue_lane::urgent, *urgent} : normal;
}

bool fair_queue::is_within_urgent_share(std::uint32_t workspace) const
{
    const workspace_state& state = workspaces_[workspace];
    return state.urgent_tag <= normal_.system_virtual_time() +
                                   settings_.urgent_burst /
                                       (settings_.urgent_factor * state.weight);
}

void fair_queue::charge_selection(const selection& selected, double cost)
{
    workspace_state& state = workspaces_[selected.workspace];
    ++state.running;
    lane_of(selected.lane).serve(selected.workspace, cost, state.weight);
    if (selected.lane == queue_lane::normal)
    {
        normal_credit_ = std::max(0.0, normal_credit_ - cost);
        return;
    }
    if (waiting_.size(queue_lane::normal) == 0)
        return;
    normal_credit_ +=
        cost * settings_.normal_share / (1 - settings_.normal_share);
    state.urgent_tag =
        std::max(state.urgent_tag, normal_.system_virtual_time()) +
        cost / (settings_.urgent_factor * state.weight);
    if (waiting_.first(selected.workspace, queue_lane::normal) !=
        waiting_requests::none)
    {
        normal_.charge(selected.workspace, cost, state.weight);
    }
}

double fair_queue::max_wait_cost(const workspace_schedule& lane,
                                 double own_cost, double own_weight) const
{
    // With fair sharing, a workspace's requests are finished once each
    // workspace has been served the same cost per weight, and at the latest
    // when all requests are finished.
    const double by_share =
        own_cost / own_weight * (lane.waiting_weight() + own_weight);
    return std::min(by_share, lane.waiting_cost() + own_cost);
}

// ------------------------------------------------------------------------
// Requests

std::uint32_t fair_queue::enqueue(const queued_request& request, bool at_front)
{
    queued_request queued = request;
    queued.cost = std::max(min_cost, request.cost);
    const std::uint32_t workspace = index_of(request.workspace);
    const std::uint32_t slot = waiting_.add(queued, workspace, at_front);
    workspace_schedule& lane = lane_of(request.lane);
    lane.request_added(workspace, queued.cost, workspaces_[workspace].weight);
    const std::uint32_t first = waiting_.first(workspace, request.lane);
    lane.first_changed(workspace, waiting_.request(first).cost);
    if (waiting_.size(queue_lane::normal) == 0)
        normal_credit_ = 0;
    return slot;
}

void fair_queue::remove(std::uint32_t slot)
{
    const queue_lane lane = waiting_.request(slot).lane;
    const double cost = waiting_.request(slot).cost;
    const std::uint32_t workspace = waiting_.workspace(slot);
    waiting_.remove(slot);
    lane_of(lane).request_removed(workspace, cost);
    const std::uint32_t first = waiting_.first(workspace, lane);
    const bool has_request = first != waiting_requests::none;
    lane_of(lane).first_changed(workspace,
                                has_request ? waiting_.request(first).cost : 0);
    if (waiting_.size(queue_lane::normal) == 0)
        normal_credit_ = 0;
}

request_refusal fair_queue::refuse(std::uint32_t slot, refusal_reason reason)
{
    const queued_request request = waiting_.request(slot);
    const std::uint32_t workspace = waiting_.workspace(slot);
    remove(slot);
    remove_if_idle(workspace);
    return refuse(request, reason);
}

request_refusal fair_queue::refuse(const queued_request& request,
                                   refusal_reason reason) const
{
    return {request.number, request.workspace, reason, retry_after(request)};
}

void fair_queue::shed_excess(queue_lane new_request_lane,
                             std::vector<request_refusal>& refusals)
{
    while (waiting_.size() > settings_.capacity)
    {
        const queue_lane lane = lane_to_shed(new_request_lane);
        const std::uint32_t workspace = *lane_of(lane).shed_candidate();
        const std::uint32_t slot = waiting_.last(workspace, lane);
        refusals.push_back(refuse(slot, refusal_reason::queue_full));
    }
}

queue_lane fair_queue::lane_to_shed(queue_lane new_request_lane) const
{
    const queue_lane other = new_request_lane == queue_lane::urgent
                                 ? queue_lane::normal
                                 : queue_lane::urgent;
    const std::size_t reserved = (settings_.capacity + 1) / 2;
    return waiting_.size(new_request_lane) > reserved ||
                   waiting_.size(other) == 0
               ? new_request_lane
               : other;
}

std::chrono::seconds
fair_queue::retry_after(const queued_request& request) const
{
    const std::chrono::milliseconds wait =
        expected_wait(request.workspace, request.lane, request.cost);
    std::chrono::seconds base = std::chrono::ceil<std::chrono::seconds>(wait);
    base = std::clamp(base, std::chrono::seconds(1), max_retry_after);
    // Jitter prevents requests that were refused together from being retried
    // at the same time.
    const std::uint64_t jitter_range =
        static_cast<std::uint64_t>(base.count()) / 2 + 2;
    return base +
           std::chrono::seconds(
               combine_hashes(stable_hash(request.workspace), request.number) %
               jitter_range);
}

} // namespace hibiscusferry
