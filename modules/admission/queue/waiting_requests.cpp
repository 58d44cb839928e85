#include "admission/queue/waiting_requests.hpp"

#include <cassert>

namespace hibiscusferry
{

namespace
{

std::size_t lane_index(queue_lane lane)
{
    return static_cast<std::size_t>(lane);
}

} // namespace

std::uint32_t waiting_requests::add(const queued_request& request,
                                    std::uint32_t workspace, bool at_front)
{
    std::uint32_t slot = 0;
    if (free_slots_.empty())
    {
        slot = static_cast<std::uint32_t>(slots_.size());
        slots_.emplace_back();
    }
    else
    {
        slot = free_slots_.back();
        free_slots_.pop_back();
    }
    slots_[slot] = slot_state{request, workspace, none, none};
    link(slot, at_front);
    by_number_.emplace(request.number, slot);
    by_expiry_.emplace(expiry(slot), slot);
    ++sizes_[lane_index(request.lane)];
    return slot;
}

void waiting_requests::remove(std::uint32_t slot)
{
    const queued_request& request = slots_[slot].request;
    by_number_.erase(request.number);
    by_expiry_.erase({expiry(slot), slot});
    --sizes_[lane_index(request.lane)];
    unlink(slot);
    free_slots_.push_back(slot);
}

const queued_request& waiting_requests::request(std::uint32_t slot) const
{
    return slots_[slot].request;
}

std::uint32_t waiting_requests::workspace(std::uint32_t slot) const
{
    return slots_[slot].workspace;
}

std::uint32_t waiting_requests::find(request_number number) const
{
    const auto entry = by_number_.find(number);
    return entry == by_number_.end() ? none : entry->second;
}

std::uint32_t waiting_requests::first(std::uint32_t workspace,
                                      queue_lane lane) const
{
    const std::vector<request_list>& lists = lists_[lane_index(lane)];
    return workspace < lists.size() ? lists[workspace].first : none;
}

std::uint32_t waiting_requests::last(std::uint32_t workspace,
                                     queue_lane lane) const
{
    const std::vector<request_list>& lists = lists_[lane_index(lane)];
    return workspace < lists.size() ? lists[workspace].last : none;
}

std::uint32_t waiting_requests::first_to_expire() const
{
    return by_expiry_.empty() ? none : by_expiry_.begin()->second;
}

time_point waiting_requests::expiry(std::uint32_t slot) const
{
    const queued_request& request = slots_[slot].request;
    return request.deadline - request.expected_run;
}

std::size_t waiting_requests::size() const
{
    return sizes_[0] + sizes_[1];
}

std::size_t waiting_requests::size(queue_lane lane) const
{
    return sizes_[lane_index(lane)];
}

waiting_requests::request_list&
waiting_requests::list_of(std::uint32_t workspace, queue_lane lane)
{
    std::vector<request_list>& lists = lists_[lane_index(lane)];
    if (workspace >= lists.size())
        lists.resize(workspace + 1);
    return lists[workspace];
}

void waiting_requests::link(std::uint32_t slot, bool at_front)
{
    slot_state& state = slots_[slot];
    request_list& list = list_of(state.workspace, state.request.lane);
    if (list.first == none)
    {
        list.first = slot;
        list.last = slot;
    }
    else if (at_front)
    {
        state.next = list.first;
        slots_[list.first].previous = slot;
        list.first = slot;
    }
    else
    {
        state.previous = list.last;
        slots_[list.last].next = slot;
        list.last = slot;
    }
}

void waiting_requests::unlink(std::uint32_t slot)
{
    const slot_state& state = slots_[slot];
    request_list& list = list_of(state.workspace, state.request.lane);
    if (state.previous == none)
        list.first = state.next;
    else
        slots_[state.previous].next = state.next;
    if (state.next == none)
        list.last = state.previous;
    else
        slots_[state.next].previous = state.previous;
}

} // namespace hibiscusferry
