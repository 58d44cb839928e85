#include "roles/policy/role_work_function.hpp"

#include <algorithm>
#include <array>

namespace hibiscusferry
{

namespace
{

/** A role change of one block, as a step on the lattice of splits. */
struct lattice_step
{
    int prefill;
    int decode;
};

constexpr std::array<lattice_step, 6> lattice_steps{
    {{1, 0}, {-1, 0}, {0, 1}, {0, -1}, {1, -1}, {-1, 1}}};

/** Values with a smaller difference are considered equal, in
    engine-seconds. */
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
                                 const role_split& current)
{
    const bool is_unchanged =
        engine_count_ == current.engines() && settings_ == settings;
    if (is_unchanged && !values_.empty())
        return;

    settings_ = settings;
    engine_count_ = current.engines();
    block_size_ =
        std::max(1, (engine_count_ + max_block_count - 1) / max_block_count);
    block_count_ = engine_count_ / block_size_;
    const int mixed_blocks =
        (settings.min_mixed_engines + block_size_ - 1) / block_size_;
    max_specialised_blocks_ = std::max(0, block_count_ - mixed_blocks);
    const std::size_t side_length =
        static_cast<std::size_t>(max_specialised_blocks_) + 1;
    values_.assign(side_length * side_length, 0.0);
    for_each_split(
        [&](int prefill, int decode)
        {
            values_[index(prefill, decode)] =
                settings_.change_cost *
                changes_between(current, split_at(prefill, decode));
        });
}

void role_work_function::charge(const engine_demand& demand,
                                std::chrono::nanoseconds duration,
                                double loss_scale)
{
    add_losses(values_, demand,
               loss_scale * std::chrono::duration<double>(duration).count());
    relax(values_);

    double min_value = values_[0];
    for_each_split(
        [&](int prefill, int decode)
        { min_value = std::min(min_value, values_[index(prefill, decode)]); });
    for (double& value : values_)
        value -= min_value;
}

role_split role_work_function::target(const role_split& current) const
{
    const double current_value = values_[index_of(current)];
    double best_value = current_value - value_tolerance;
    role_split selected_split = current;
    for_each_split(
        [&](int prefill, int decode)
        {
            const role_split split = split_at(prefill, decode);
            const double value = values_[index(prefill, decode)];
            const double value_after_change =
                value + settings_.change_cost * changes_between(current, split);
            if (value_after_change <= current_value + value_tolerance &&
                value < best_value)
            {
                best_value = value;
                selected_split = split;
            }
        });
    return selected_split;
}

role_split role_work_function::plan_target(
    const role_split& current,
    const std::vector<engine_demand>& predicted_demand,
    std::chrono::nanoseconds step) const
{
    const double seconds = std::chrono::duration<double>(step).count();
    std::vector<double> remaining_cost(values_.size(), 0.0);
    for (std::size_t remaining_steps = predicted_demand.size();
         remaining_steps > 0; --remaining_steps)
    {
        if (remaining_steps < predicted_demand.size())
            relax(remaining_cost);
        add_losses(remaining_cost, predicted_demand[remaining_steps - 1],
                   seconds);
    }

    double best_value = remaining_cost[index_of(current)] - value_tolerance;
    role_split selected_split = current;
    for_each_split(
        [&](int prefill, int decode)
        {
            const role_split split = split_at(prefill, decode);
            const double total =
                remaining_cost[index(prefill, decode)] +
                settings_.change_cost * changes_between(current, split);
            if (total < best_value)
            {
                best_value = total;
                selected_split = split;
            }
        });
    return selected_split;
}

double role_work_function::regret(const role_split& current) const
{
    const double current_value = values_[index_of(current)];
    double max_regret = 0;
    for_each_split(
        [&](int prefill, int decode)
        {
            const int changes =
                changes_between(current, split_at(prefill, decode));
            if (changes == 0 || settings_.change_cost <= 0)
                return;
            const double value_difference =
                current_value - values_[index(prefill, decode)];
            max_regret =
                std::max(max_regret,
                         value_difference / (changes * settings_.change_cost));
        });
    return max_regret;
}

std::size_t role_work_function::index(int prefill, int decode) const
{
    return static_cast<std::size_t>(prefill) *
               (static_cast<std::size_t>(max_specialised_blocks_) + 1) +
           static_cast<std::size_t>(decode);
}

std::size_t role_work_function::index_of(const role_split& split) const
{
    const int prefill =
        std::min((split.prefill + block_size_ / 2) / block_size_,
                 max_specialised_blocks_);
    const int decode = std::min((split.decode + block_size_ / 2) / block_size_,
                                max_specialised_blocks_ - prefill);
    return index(prefill, decode);
}

role_split role_work_function::split_at(int prefill, int decode) const
{
    return {prefill * block_size_, decode * block_size_,
            engine_count_ - (prefill + decode) * block_size_};
}

template <class Visitor>
void role_work_function::for_each_split(Visitor visit) const
{
    for (int prefill = 0; prefill <= max_specialised_blocks_; ++prefill)
    {
        for (int decode = 0; decode <= max_specialised_blocks_ - prefill;
             ++decode)
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
    const double step_cost = settings_.change_cost * block_size_;
    bool has_changed = true;
    while (has_changed)
    {
        has_changed = false;
        for_each_split(
            [&](int prefill, int decode)
            {
                double& value = values[index(prefill, decode)];
                for (const lattice_step& step : lattice_steps)
                {
                    const int other_prefill = prefill + step.prefill;
                    const int other_decode = decode + step.decode;
                    if (other_prefill < 0 || other_decode < 0 ||
                        other_prefill + other_decode > max_specialised_blocks_)
                        continue;
                    const double neighbour_value =
                        values[index(other_prefill, other_decode)] + step_cost;
                    if (neighbour_value < value - value_tolerance)
                    {
                        value = neighbour_value;
                        has_changed = true;
                    }
                }
            });
    }
}

} // namespace hibiscusferry
