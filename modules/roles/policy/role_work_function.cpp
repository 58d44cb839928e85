#include "roles/policy/role_work_function.hpp"

#include <algorithm>
#include <array>

namespace hibiscusferry
{

namespace
{

/** A change of one block's role, as a step on the lattice of splits. */
struct lattice_step
{
    int prefill;
    int decode;
};

constexpr std::array<lattice_step, 6> lattice_steps{
    {{1, 0}, {-1, 0}, {0, 1}, {0, -1}, {1, -1}, {-1, 1}}};

/** Values that differ by less are taken as equal, in engine-seconds. */
constexpr double value_tolerance = 1e-9;

} // namespace

bool operator==(const work_function_settings& left,
                const work_function_settings& right)
{
    return left.change_cost == right.change_cost &&
           left.mixed_efficiency == right.mixed_efficiency &&
           left.min_mixed_engines == right.min_mixed_engines;
}

void role_work_function::prepare(const work_function_settings& settings,
                                 const role_split& present)
{
    const bool same = engines_ == present.engines() && settings_ == settings;
    if (same && !values_.empty())
        return;

    settings_ = settings;
    engines_ = present.engines();
    block_ = std::max(1, (engines_ + greatest_block_count - 1) /
                             greatest_block_count);
    blocks_ = engines_ / block_;
    const int mixed_blocks = (settings.min_mixed_engines + block_ - 1) / block_;
    free_blocks_ = std::max(0, blocks_ - mixed_blocks);
    const std::size_t side = static_cast<std::size_t>(free_blocks_) + 1;
    values_.assign(side * side, 0.0);
    for_each_split(
        [&](int prefill, int decode)
        {
            values_[index(prefill, decode)] =
                settings_.change_cost *
                changes_between(present, split_at(prefill, decode));
        });
}

void role_work_function::charge(const engine_demand& demand,
                                std::chrono::nanoseconds duration,
                                double loss_scale)
{
    add_losses(values_, demand,
               loss_scale * std::chrono::duration<double>(duration).count());
    relax(values_);

    double least = values_[0];
    for_each_split(
        [&](int prefill, int decode)
        { least = std::min(least, values_[index(prefill, decode)]); });
    for (double& value : values_)
        value -= least;
}

role_split role_work_function::target(const role_split& present) const
{
    const double stay = values_[index_of(present)];
    double best = stay - value_tolerance;
    role_split chosen = present;
    for_each_split(
        [&](int prefill, int decode)
        {
            const role_split split = split_at(prefill, decode);
            const double value = values_[index(prefill, decode)];
            const double moved =
                value + settings_.change_cost * changes_between(present, split);
            if (moved <= stay + value_tolerance && value < best)
            {
                best = value;
                chosen = split;
            }
        });
    return chosen;
}

role_split
role_work_function::planned_target(const role_split& present,
                                   const std::vector<engine_demand>& coming,
                                   std::chrono::nanoseconds step) const
{
    const double seconds = std::chrono::duration<double>(step).count();
    std::vector<double> to_go(values_.size(), 0.0);
    for (std::size_t left = coming.size(); left > 0; --left)
    {
        if (left < coming.size())
            relax(to_go);
        add_losses(to_go, coming[left - 1], seconds);
    }

    double best = to_go[index_of(present)] - value_tolerance;
    role_split chosen = present;
    for_each_split(
        [&](int prefill, int decode)
        {
            const role_split split = split_at(prefill, decode);
            const double total =
                to_go[index(prefill, decode)] +
                settings_.change_cost * changes_between(present, split);
            if (total < best)
            {
                best = total;
                chosen = split;
            }
        });
    return chosen;
}

double role_work_function::regret(const role_split& present) const
{
    const double stay = values_[index_of(present)];
    double greatest = 0;
    for_each_split(
        [&](int prefill, int decode)
        {
            const int changes =
                changes_between(present, split_at(prefill, decode));
            if (changes == 0 || settings_.change_cost <= 0)
                return;
            const double saved = stay - values_[index(prefill, decode)];
            greatest =
                std::max(greatest, saved / (changes * settings_.change_cost));
        });
    return greatest;
}

std::size_t role_work_function::index(int prefill, int decode) const
{
    return static_cast<std::size_t>(prefill) *
               (static_cast<std::size_t>(free_blocks_) + 1) +
           static_cast<std::size_t>(decode);
}

std::size_t role_work_function::index_of(const role_split& split) const
{
    const int prefill =
        std::min((split.prefill + block_ / 2) / block_, free_blocks_);
    const int decode =
        std::min((split.decode + block_ / 2) / block_, free_blocks_ - prefill);
    return index(prefill, decode);
}

role_split role_work_function::split_at(int prefill, int decode) const
{
    return {prefill * block_, decode * block_,
            engines_ - (prefill + decode) * block_};
}

template <class Visitor>
void role_work_function::for_each_split(Visitor visit) const
{
    for (int prefill = 0; prefill <= free_blocks_; ++prefill)
    {
        for (int decode = 0; decode <= free_blocks_ - prefill; ++decode)
            visit(prefill, decode);
    }
}

void role_work_function::add_losses(std::vector<double>& values,
                                    const engine_demand& demand,
                                    double seconds) const
{
    for_each_split(
        [&](int prefill, int decode)
        {
            values[index(prefill, decode)] +=
                seconds * loss_rate(split_at(prefill, decode), demand,
                                    settings_.mixed_efficiency);
        });
}

void role_work_function::relax(std::vector<double>& values) const
{
    const double step_cost = settings_.change_cost * block_;
    bool lowered = true;
    while (lowered)
    {
        lowered = false;
        for_each_split(
            [&](int prefill, int decode)
            {
                double& value = values[index(prefill, decode)];
                for (const lattice_step& step : lattice_steps)
                {
                    const int other_prefill = prefill + step.prefill;
                    const int other_decode = decode + step.decode;
                    if (other_prefill < 0 || other_decode < 0 ||
                        other_prefill + other_decode > free_blocks_)
                        continue;
                    const double over =
                        values[index(other_prefill, other_decode)] + step_cost;
                    if (over < value - value_tolerance)
                    {
                        value = over;
                        lowered = true;
                    }
                }
            });
    }
}

} // namespace hibiscusferry
