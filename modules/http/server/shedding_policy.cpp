#include "http/server/shedding_policy.hpp"

#include <tuple>

namespace hibiscusferry
{

namespace
{

bool is_transferring(connection_phase phase)
{
    return phase == connection_phase::receiving ||
           phase == connection_phase::responding;
}

} // namespace

double shedding_policy::rate(const connection_progress& progress,
                             time_point now)
{
    if (now - progress.last_progress_at >= grace)
        return 0;
    const std::chrono::duration<double> elapsed =
        std::max<std::chrono::duration<double>>(now - progress.begun_at,
                                                std::chrono::milliseconds(1));
    return static_cast<double>(progress.transferred_bytes) / elapsed.count();
}

std::optional<std::size_t> shedding_policy::select_for_memory(
    const std::vector<connection_progress>& connections, double requester,
    time_point now)
{
    std::optional<std::size_t> slowest;
    std::tuple<double, time_point> slowest_key;
    for (std::size_t index = 0; index < connections.size(); ++index)
    {
        const connection_progress& candidate = connections[index];
        if (!is_transferring(candidate.phase) ||
            now - candidate.begun_at < grace)
            continue;
        const std::tuple<double, time_point> key{rate(candidate, now),
                                                 candidate.last_progress_at};
        if (std::get<0>(key) >= requester / 2 ||
            (slowest && key >= slowest_key))
            continue;
        slowest = index;
        slowest_key = key;
    }
    return slowest;
}

std::optional<std::size_t> shedding_policy::select_for_descriptor(
    const std::vector<connection_progress>& connections,
    std::chrono::milliseconds min_age, time_point now)
{
    constexpr int stopped = 0;
    constexpr int idle = 1;
    constexpr int progressing = 2;
    using order = std::tuple<int, double, time_point>;

    std::optional<std::size_t> selected;
    order selected_key;
    for (std::size_t index = 0; index < connections.size(); ++index)
    {
        const connection_progress& candidate = connections[index];
        if (candidate.phase == connection_phase::handling ||
            now - candidate.begun_at < min_age)
            continue;
        order key{idle, 0, candidate.begun_at};
        if (is_transferring(candidate.phase))
        {
            const double speed = rate(candidate, now);
            key = order{speed < min_bytes_per_second ? stopped : progressing,
                        speed, candidate.last_progress_at};
        }
        if (selected && key >= selected_key)
            continue;
        selected = index;
        selected_key = key;
    }
    return selected;
}

} // namespace hibiscusferry
