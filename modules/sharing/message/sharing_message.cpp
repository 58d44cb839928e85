#include "sharing/message/sharing_message.hpp"

#include "sharing/message/nested_cbor.hpp"
#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>

namespace hibiscusferry
{

namespace
{

constexpr std::uint64_t message_version = 2;
constexpr double requests_unit = 0.1;
constexpr double tokens_unit = 16;
constexpr double exchanges_unit = 0.1;
/** Far beyond any load, and exact as a double. */
constexpr double max_units = 1e15;
/** Bound on the magnitude of the sum of delays at a target. */
constexpr double max_delays_ms = 1e9;
/** The key of a target and the members of its load. */
constexpr std::size_t numbers_per_target = 8 + urgent_rank_count;
constexpr double rate_unit = 0.001;
constexpr double demand_unit = 0.01;
/** The key of a target and the members of its request_limit_report. */
constexpr std::size_t numbers_per_limit = 5 + urgent_rank_count;
/** The members of a replica_position. */
constexpr std::size_t numbers_per_table = 4;

std::uint64_t to_units(double value, double unit)
{
    return static_cast<std::uint64_t>(
        std::llround(std::clamp(value / unit, 0.0, max_units)));
}

/** The non-negative integer at an index; throws if there is none. */
std::uint64_t number_at(const nlohmann::json& numbers, std::size_t index)
{
    const nlohmann::json& number = numbers.at(index);
    if (!number.is_number_unsigned())
        throw std::invalid_argument("not a non-negative integer");
    return number.get<std::uint64_t>();
}

nlohmann::json encode_loads(const load_part& part)
{
    nlohmann::json numbers = nlohmann::json::array();
    for (const auto& [key, load] : part.loads)
    {
        numbers.push_back(key);
        numbers.push_back(to_units(load.requests, requests_unit));
        numbers.push_back(to_units(load.pending_prefill_tokens, tokens_unit));
        numbers.push_back(to_units(load.kv_tokens, tokens_unit));
        numbers.push_back(to_units(load.hosts_suspecting, 1));
        numbers.push_back(to_units(load.hosts_changing_stage, 1));
        numbers.push_back(to_units(load.exchanges, exchanges_unit));
        numbers.push_back(std::llround(
            std::clamp(load.delays_ms, -max_delays_ms, max_delays_ms)));
        for (const double tokens : load.urgent_prefill_tokens)
            numbers.push_back(to_units(tokens, tokens_unit));
    }
    return numbers;
}

/** Encodes the rate of a limit plus one; zero is "no limit". */
std::uint64_t encode_rate(const std::optional<double>& rate)
{
    return rate ? to_units(*rate, rate_unit) + 1 : 0;
}

nlohmann::json encode_limits(const request_limit_reports& limits)
{
    nlohmann::json numbers = nlohmann::json::array();
    for (const auto& [key, report] : limits)
    {
        numbers.push_back(key);
        numbers.push_back(encode_rate(report.rate));
        numbers.push_back(to_units(static_cast<double>(report.age.count()), 1));
        numbers.push_back(to_units(report.recent_requests, requests_unit));
        for (const double rate : report.demand)
            numbers.push_back(to_units(rate, demand_unit));
    }
    return numbers;
}

request_limit_reports decode_limits(const nlohmann::json& numbers)
{
    request_limit_reports limits;
    for (std::size_t offset = 0; offset + numbers_per_limit <= numbers.size();
         offset += numbers_per_limit)
    {
        request_limit_report& report = limits[number_at(numbers, offset)];
        const std::uint64_t rate = number_at(numbers, offset + 1);
        if (rate > 0)
            report.rate = static_cast<double>(rate - 1) * rate_unit;
        report.age = std::chrono::milliseconds(std::min<std::uint64_t>(
            number_at(numbers, offset + 2),
            request_limit_report::no_statement.count()));
        report.recent_requests =
            static_cast<double>(number_at(numbers, offset + 3)) * requests_unit;
        for (std::size_t rank = 0; rank < report.demand.size(); ++rank)
            report.demand[rank] =
                static_cast<double>(number_at(numbers, offset + 4 + rank)) *
                demand_unit;
    }
    return limits;
}

/** Encodes the sums of each service and step. Single precision suffices for an
    estimate, and halves the size. */
nlohmann::json encode_observations(const service_observations& observations)
{
    nlohmann::json services = nlohmann::json::array();
    for (const auto& [service, steps] : observations)
    {
        nlohmann::json numbers = nlohmann::json::array({service});
        for (const step_observations& step : steps)
        {
            for (const double sum : to_array(step))
                numbers.push_back(static_cast<float>(
                    std::min<double>(sum, std::numeric_limits<float>::max())));
        }
        services.push_back(std::move(numbers));
    }
    return services;
}

service_observations decode_observations(const nlohmann::json& services)
{
    service_observations observations;
    for (const nlohmann::json& numbers : services)
    {
        engine_observations& steps =
            observations[static_cast<service_key>(number_at(numbers, 0))];
        std::size_t index = 1;
        for (step_observations& step : steps)
        {
            step_observation_array sums{};
            for (double& sum : sums)
            {
                sum = numbers.at(index++).get<double>();
                if (!std::isfinite(sum) || sum < 0)
                    throw std::invalid_argument("not a sum of observations");
            }
            step = from_array(sums);
        }
    }
    return observations;
}

nlohmann::json encode_positions(const replica_positions& positions)
{
    nlohmann::json numbers = nlohmann::json::array();
    for (const replica_position& position : positions)
    {
        numbers.push_back(position.as_of.era);
        numbers.push_back(position.as_of.version);
        numbers.push_back(position.digest);
        numbers.push_back(std::max<std::int64_t>(position.age.count(), 0));
    }
    return numbers;
}

load_part decode_loads(const nlohmann::json& part,
                       const nlohmann::json& numbers)
{
    load_part loads;
    loads.index = static_cast<std::uint32_t>(number_at(part, 0));
    loads.count = std::max(static_cast<std::uint32_t>(number_at(part, 1)), 1U);
    loads.hosts = number_at(part, 2);
    for (std::size_t offset = 0; offset + numbers_per_target <= numbers.size();
         offset += numbers_per_target)
    {
        in_flight_load& load =
            loads.loads[static_cast<target_key>(number_at(numbers, offset))];
        load.requests =
            static_cast<double>(number_at(numbers, offset + 1)) * requests_unit;
        load.pending_prefill_tokens =
            static_cast<double>(number_at(numbers, offset + 2)) * tokens_unit;
        load.kv_tokens =
            static_cast<double>(number_at(numbers, offset + 3)) * tokens_unit;
        load.hosts_suspecting =
            static_cast<double>(number_at(numbers, offset + 4));
        load.hosts_changing_stage =
            static_cast<double>(number_at(numbers, offset + 5));
        load.exchanges = static_cast<double>(number_at(numbers, offset + 6)) *
                         exchanges_unit;
        const double delays_ms = numbers.at(offset + 7).get<double>();
        if (!std::isfinite(delays_ms))
            throw std::invalid_argument("not a sum of delays");
        load.delays_ms = std::clamp(delays_ms, -max_delays_ms, max_delays_ms);
        for (std::size_t rank = 0; rank < urgent_rank_count; ++rank)
            load.urgent_prefill_tokens[rank] =
                static_cast<double>(number_at(numbers, offset + 8 + rank)) *
                tokens_unit;
    }
    return loads;
}

replica_positions decode_positions(const nlohmann::json& numbers)
{
    replica_positions positions;
    for (std::size_t table = 0; table < positions.size(); ++table)
    {
        const std::size_t first = table * numbers_per_table;
        positions[table].as_of = {number_at(numbers, first),
                                  number_at(numbers, first + 1)};
        positions[table].digest = number_at(numbers, first + 2);
        positions[table].age = to_replica_age(number_at(numbers, first + 3));
    }
    return positions;
}

} // namespace

std::vector<load_part> split_loads(const aggregated_loads& loads)
{
    // A limit takes up to twice the space of a load.
    const std::size_t entries = loads.loads.size() + 2 * loads.limits.size();
    const std::size_t min_count =
        (entries + max_targets_per_message - 1) / max_targets_per_message;
    // Keys are hashes, so the parts differ in size: a quarter more parts than
    // the minimum leaves room for the largest one.
    const std::uint32_t count = static_cast<std::uint32_t>(
        min_count <= 1 ? 1 : min_count + (min_count + 3) / 4);
    std::vector<load_part> parts(count);
    for (std::uint32_t index = 0; index < count; ++index)
    {
        parts[index].index = index;
        parts[index].count = count;
        parts[index].hosts = loads.hosts;
    }
    parts.front().observations = loads.observations;
    for (const auto& [key, load] : loads.loads)
        parts[key % count].loads[key] = load;
    for (const auto& [key, report] : loads.limits)
        parts[key % count].limits[key] = report;
    return parts;
}

std::string encode_message(const sharing_message& message)
{
    const nlohmann::json fields{
        message_version,
        static_cast<unsigned>(message.type),
        message.host,
        message.availability_zone,
        message.number,
        message.is_relay,
        nlohmann::json::array(
            {message.load.index, message.load.count, message.load.hosts}),
        encode_loads(message.load),
        encode_positions(message.positions),
        encode_observations(message.load.observations),
        encode_limits(message.load.limits)};
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(fields);
    return {bytes.begin(), bytes.end()};
}

result<sharing_message> decode_message(std::string_view bytes)
{
    const result<nlohmann::json> parsed = read_nested_cbor(bytes);
    if (!parsed)
        return parsed.error();
    try
    {
        const nlohmann::json& fields = parsed.value();
        const std::uint64_t kind = number_at(fields, 1);
        constexpr std::uint64_t last_kind =
            static_cast<std::uint64_t>(sharing_message::kind::zone_response);
        if (number_at(fields, 0) != message_version || kind > last_kind)
            return std::make_error_code(std::errc::bad_message);
        sharing_message message;
        message.type = static_cast<sharing_message::kind>(kind);
        message.host = fields.at(2).get<std::string>();
        message.availability_zone = fields.at(3).get<std::string>();
        message.number = number_at(fields, 4);
        message.is_relay = fields.at(5).get<bool>();
        message.load = decode_loads(fields.at(6), fields.at(7));
        message.positions = decode_positions(fields.at(8));
        message.load.observations = decode_observations(fields.at(9));
        // Hosts of an earlier version do not send limits.
        constexpr std::size_t limits_index = 10;
        if (fields.size() > limits_index)
            message.load.limits = decode_limits(fields.at(limits_index));
        return message;
    }
    catch (const std::exception&)
    {
        return std::make_error_code(std::errc::bad_message);
    }
}

} // namespace hibiscusferry
