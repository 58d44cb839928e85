#include "stand_ins/engine/batch_scheduler.hpp"

#include "stand_ins/engine/completion_text.hpp"
#include <algorithm>

namespace hibiscusferry::stand_ins
{

namespace
{

constexpr std::size_t prefill_role_budget_tokens = 8192;
constexpr std::size_t mixed_role_budget_tokens = 2048;
constexpr std::size_t decode_role_budget_tokens = 256;
constexpr std::size_t prefill_role_running_divisor = 8;

std::size_t reserved_tokens_of(const generation& item)
{
    return item.prompt_tokens + item.tokens.size();
}

bool has_higher_priority(const generation_pointer& left,
                         const generation_pointer& right)
{
    return left->priority < right->priority;
}

} // namespace

bool generation::is_active() const
{
    return state == generation_state::waiting ||
           state == generation_state::running;
}

batch_scheduler::batch_scheduler(const engine_costs& costs)
    : costs_(costs)
{
    set_role("mixed");
}

void batch_scheduler::set_role(const std::string& role)
{
    prefill_budget_ = mixed_role_budget_tokens;
    max_running_ = costs_.max_running;
    if (role == "decode")
        prefill_budget_ = decode_role_budget_tokens;
    if (role == "prefill")
    {
        prefill_budget_ = prefill_role_budget_tokens;
        max_running_ = std::max<std::size_t>(
            1, costs_.max_running / prefill_role_running_divisor);
    }
}

void batch_scheduler::submit(const generation_pointer& item)
{
    waiting_.insert(std::upper_bound(waiting_.begin(), waiting_.end(), item,
                                     has_higher_priority),
                    item);
}

void batch_scheduler::end(generation& item, generation_state state)
{
    if (item.is_active())
        item.state = state;
    remove_ended();
}

bool batch_scheduler::has_work() const
{
    return !waiting_.empty() || !running_.empty();
}

std::chrono::nanoseconds batch_scheduler::begin_step()
{
    admit_waiting();
    decoding_.clear();
    for (const generation_pointer& item : running_)
    {
        if (item->remaining_prefill_tokens == 0)
            decoding_.push_back(item);
    }
    const std::size_t planned_tokens = plan_prefill();
    const std::chrono::duration<double> prefill_time(
        static_cast<double>(planned_tokens) / costs_.prefill_tokens_per_second);
    return costs_.decode_step +
           std::chrono::duration_cast<std::chrono::nanoseconds>(prefill_time);
}

std::vector<generation_pointer> batch_scheduler::finish_step()
{
    std::vector<generation_pointer> advanced = decoding_;
    for (const planned_prefill& part : planned_)
    {
        part.item->remaining_prefill_tokens -= part.tokens;
        if (part.item->remaining_prefill_tokens > 0 || !part.item->is_active())
            continue;
        cache_.store(part.item->prefixes);
        advanced.push_back(part.item);
    }
    planned_.clear();
    decoding_.clear();

    for (const generation_pointer& item : advanced)
    {
        if (!item->is_active())
            continue;
        ++item->produced;
        if (item->produced >= item->tokens.size())
            item->state = generation_state::finished;
    }
    remove_ended();
    cache_.shrink_to(costs_.kv_tokens -
                     std::min(costs_.kv_tokens, reserved_tokens()));
    return advanced;
}

std::size_t batch_scheduler::waiting_prefill_tokens() const
{
    std::size_t total = 0;
    for (const generation_pointer& item : active())
        total += item->remaining_prefill_tokens;
    return total;
}

std::size_t batch_scheduler::active_streams() const
{
    return running_.size();
}

std::size_t batch_scheduler::free_kv_tokens() const
{
    return costs_.kv_tokens - std::min(costs_.kv_tokens, reserved_tokens());
}

std::size_t batch_scheduler::waiting() const
{
    return waiting_.size();
}

std::vector<generation_pointer> batch_scheduler::active() const
{
    std::vector<generation_pointer> all = running_;
    all.insert(all.end(), waiting_.begin(), waiting_.end());
    return all;
}

prefix_cache& batch_scheduler::cache()
{
    return cache_;
}

void batch_scheduler::admit_waiting()
{
    while (!waiting_.empty() && running_.size() < max_running_)
    {
        const generation_pointer item = waiting_.front();
        // A generation that exceeds the KV cache capacity runs alone.
        const bool fits =
            running_.empty() || reserved_tokens_of(*item) <= free_kv_tokens();
        if (!fits)
            return;
        waiting_.erase(waiting_.begin());
        const std::size_t cached =
            cache_.match(item->prefixes) * cache_block_tokens;
        // The last prompt token is always computed, because decoding starts
        // from its result.
        item->cached_tokens =
            std::min(cached, item->remaining_prefill_tokens - 1);
        item->remaining_prefill_tokens -= item->cached_tokens;
        item->state = generation_state::running;
        running_.push_back(item);
    }
}

void batch_scheduler::remove_ended()
{
    const auto has_ended = [](const generation_pointer& item)
    {
        return !item->is_active();
    };
    waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(), has_ended),
                   waiting_.end());
    running_.erase(std::remove_if(running_.begin(), running_.end(), has_ended),
                   running_.end());
}

std::size_t batch_scheduler::plan_prefill()
{
    std::vector<generation_pointer> prompts;
    for (const generation_pointer& item : running_)
    {
        if (item->remaining_prefill_tokens > 0)
            prompts.push_back(item);
    }
    std::stable_sort(prompts.begin(), prompts.end(), has_higher_priority);

    std::size_t remaining_budget = prefill_budget_;
    for (const generation_pointer& item : prompts)
    {
        const std::size_t tokens =
            std::min(remaining_budget, item->remaining_prefill_tokens);
        if (tokens == 0)
            break;
        planned_.push_back({item, tokens});
        remaining_budget -= tokens;
    }
    return prefill_budget_ - remaining_budget;
}

std::size_t batch_scheduler::reserved_tokens() const
{
    std::size_t total = 0;
    for (const generation_pointer& item : running_)
        total += reserved_tokens_of(*item);
    return total;
}

} // namespace hibiscusferry::stand_ins
