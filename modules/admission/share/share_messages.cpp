#include "admission/share/share_messages.hpp"

namespace hibiscusferry
{

namespace
{

/** Type, incarnation, sequence, level and the head of the array. The sender is
    identified by the connection. */
constexpr std::size_t report_head_bytes = 20;
constexpr std::size_t response_head_bytes = 6;
constexpr std::size_t key_bytes = 9;
constexpr std::size_t float_bytes = 5;

std::size_t encoded_integer_bytes(std::uint64_t value)
{
    if (value < 24)
        return 1;
    if (value < (1ULL << 8U))
        return 2;
    if (value < (1ULL << 16U))
        return 3;
    return value < (1ULL << 32U) ? 5 : 9;
}

} // namespace

share_key share_key_of(const std::string& service, const std::string& workspace,
                       queue_lane lane)
{
    const std::uint64_t combined_hash =
        combine_hashes(stable_hash(service), stable_hash(workspace));
    return combine_hashes(combined_hash, static_cast<std::uint64_t>(lane));
}

std::size_t encoded_bytes(const usage_report& report)
{
    std::size_t bytes = report_head_bytes;
    for (const usage_entry& entry : report.entries)
    {
        bytes +=
            2 + key_bytes + encoded_integer_bytes(entry.offered) +
            encoded_integer_bytes(entry.offered - entry.previously_offered);
    }
    return bytes;
}

std::size_t encoded_bytes(const demand_response& response)
{
    return response_head_bytes +
           response.entries.size() * (1 + key_bytes + float_bytes);
}

} // namespace hibiscusferry
