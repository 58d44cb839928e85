#ifndef HIBISCUSFERRY_ADMISSION_QUEUE_WAITING_REQUESTS_HPP
#define HIBISCUSFERRY_ADMISSION_QUEUE_WAITING_REQUESTS_HPP

#include "admission/queue/queued_request.hpp"
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hibiscusferry
{

/** Holds the waiting requests of a fair_queue: one list per workspace and
    lane with the oldest request first, an index by expiry, and an index by
    request number.

    Requests are stored in reusable slots, so that memory use depends on the
    number of waiting requests and not on the number of workspaces. All
    operations are O(1) except those on the index by expiry, which are
    O(log n).
*/
class waiting_requests
{
public:
    static constexpr std::uint32_t none = 0xffffffffU;

    /** Adds a request at the front or the back of its workspace's list.
        @returns its slot, which is valid until the request is removed */
    std::uint32_t add(const queued_request& request, std::uint32_t workspace,
                      bool at_front);

    void remove(std::uint32_t slot);

    const queued_request& request(std::uint32_t slot) const;
    std::uint32_t workspace(std::uint32_t slot) const;

    /** Returns the slot of a request, or none if it is not waiting. */
    std::uint32_t find(request_number number) const;

    /** Return the oldest and the newest request of a workspace, or none. */
    std::uint32_t first(std::uint32_t workspace, queue_lane lane) const;
    std::uint32_t last(std::uint32_t workspace, queue_lane lane) const;

    /** Returns the request that expires first, or none. */
    std::uint32_t first_to_expire() const;

    /** Returns when it becomes too late to complete a request by its
        deadline. */
    time_point expiry(std::uint32_t slot) const;

    std::size_t size() const;
    std::size_t size(queue_lane lane) const;

private:
    struct slot_state
    {
        queued_request request;
        std::uint32_t workspace = 0;
        std::uint32_t previous = none;
        std::uint32_t next = none;
    };

    struct request_list
    {
        std::uint32_t first = none;
        std::uint32_t last = none;
    };

    request_list& list_of(std::uint32_t workspace, queue_lane lane);
    void link(std::uint32_t slot, bool at_front);
    void unlink(std::uint32_t slot);

    std::vector<slot_state> slots_;
    std::vector<std::uint32_t> free_slots_;
    std::vector<request_list> lists_[2];
    std::unordered_map<request_number, std::uint32_t> by_number_;
    std::set<std::pair<time_point, std::uint32_t>> by_expiry_;
    std::size_t sizes_[2] = {0, 0};
};

} // namespace hibiscusferry

#endif
