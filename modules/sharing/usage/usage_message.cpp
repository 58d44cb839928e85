#include "sharing/usage/usage_message.hpp"

#include "sharing/message/flat_cbor.hpp"

namespace hibiscusferry
{

namespace
{

/** The first field: the name of the protocol, then its format version. */
constexpr std::string_view usage_protocol = "us";
constexpr std::string_view usage_protocol_version = "us1";
constexpr std::uint64_t report_kind = 0;
constexpr std::uint64_t acknowledgement_kind = 1;

/** A datagram of 1,400 bytes passes any link without fragmentation. The
    remainder is for the fields before the counts. */
constexpr std::size_t max_count_bytes = 1150;
/** Bytes of a count and of the length of a name, at most. */
constexpr std::size_t bytes_per_count = 8;
constexpr std::size_t report_head_fields = 11;
constexpr std::size_t max_usage_fields = 1024;
constexpr std::uint64_t max_parts = 64;

fleet_time to_fleet_time(std::uint64_t milliseconds)
{
    // Keeps sums of such times in range.
    constexpr std::uint64_t max_milliseconds = std::uint64_t{1} << 52;
    return fleet_time(
        static_cast<std::int64_t>(std::min(milliseconds, max_milliseconds)));
}

std::string to_bytes(const nlohmann::json& fields)
{
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(fields);
    return {bytes.begin(), bytes.end()};
}

std::uint64_t to_number(fleet_time time)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(time.count(), 0));
}

/** The fields of a message of a kind; none if the bytes have another form. */
std::optional<std::vector<message_field>> read_fields(std::string_view bytes,
                                                      std::uint64_t kind)
{
    std::optional<std::vector<message_field>> fields =
        read_flat_cbor(bytes, max_usage_fields);
    if (!fields || fields->empty() ||
        fields->front() != message_field(std::string(usage_protocol_version)) ||
        number_field(*fields, 1) != kind)
        return std::nullopt;
    return fields;
}

} // namespace

bool is_usage_message(std::string_view bytes)
{
    return has_protocol(bytes, usage_protocol);
}

std::vector<usage_host_report> split_report(const usage_host_report& report)
{
    std::vector<usage_host_report> reports(1, report);
    reports.back().counts.clear();
    std::size_t bytes = 0;
    for (const auto& [workspace, requests] : report.counts)
    {
        const std::size_t entry_bytes = workspace.size() + bytes_per_count;
        if (bytes > 0 && bytes + entry_bytes > max_count_bytes)
        {
            reports.push_back(report);
            reports.back().counts.clear();
            bytes = 0;
        }
        bytes += entry_bytes;
        reports.back().counts[workspace] = requests;
    }
    for (std::size_t index = 0; index < reports.size(); ++index)
    {
        reports[index].part = static_cast<std::uint32_t>(index);
        reports[index].parts = static_cast<std::uint32_t>(reports.size());
    }
    return reports;
}

std::string encode_usage_report(const usage_host_report& report)
{
    nlohmann::json fields{std::string(usage_protocol_version),
                          report_kind,
                          report.host,
                          report.incarnation,
                          report.number,
                          to_number(report.time_of_day),
                          report.window,
                          std::uint64_t{report.is_final ? 1U : 0U},
                          std::uint64_t{report.is_relayed ? 1U : 0U},
                          std::uint64_t{report.part},
                          std::uint64_t{report.parts}};
    for (const auto& [workspace, requests] : report.counts)
    {
        fields.push_back(workspace);
        fields.push_back(requests);
    }
    return to_bytes(fields);
}

result<usage_host_report> decode_usage_report(std::string_view bytes)
{
    const std::optional<std::vector<message_field>> fields =
        read_fields(bytes, report_kind);
    if (!fields || fields->size() < report_head_fields ||
        !std::holds_alternative<std::string>((*fields)[2]))
        return std::make_error_code(std::errc::bad_message);
    usage_host_report report;
    report.host = std::get<std::string>((*fields)[2]);
    std::array<std::uint64_t, report_head_fields> numbers{};
    for (std::size_t index = 3; index < report_head_fields; ++index)
    {
        const std::optional<std::uint64_t> number =
            number_field(*fields, index);
        if (!number)
            return std::make_error_code(std::errc::bad_message);
        numbers[index] = *number;
    }
    report.incarnation = numbers[3];
    report.number = numbers[4];
    report.time_of_day = to_fleet_time(numbers[5]);
    report.window = numbers[6];
    report.is_final = numbers[7] != 0;
    report.is_relayed = numbers[8] != 0;
    const bool is_valid_part =
        numbers[10] > 0 && numbers[10] <= max_parts && numbers[9] < numbers[10];
    const bool has_pairs = (fields->size() - report_head_fields) % 2 == 0;
    if (!is_valid_part || !has_pairs)
        return std::make_error_code(std::errc::bad_message);
    report.part = static_cast<std::uint32_t>(numbers[9]);
    report.parts = static_cast<std::uint32_t>(numbers[10]);
    for (std::size_t index = report_head_fields; index < fields->size();
         index += 2)
    {
        const std::optional<std::uint64_t> requests =
            number_field(*fields, index + 1);
        if (!std::holds_alternative<std::string>((*fields)[index]) || !requests)
            return std::make_error_code(std::errc::bad_message);
        report.counts[std::get<std::string>((*fields)[index])] = *requests;
    }
    return report;
}

std::string
encode_usage_acknowledgement(const usage_acknowledgement& acknowledgement)
{
    return to_bytes({std::string(usage_protocol_version), acknowledgement_kind,
                     acknowledgement.incarnation, acknowledgement.number,
                     to_number(acknowledgement.agreed_time),
                     acknowledgement.first_open_window});
}

result<usage_acknowledgement>
decode_usage_acknowledgement(std::string_view bytes)
{
    constexpr std::size_t field_count = 6;
    const std::optional<std::vector<message_field>> fields =
        read_fields(bytes, acknowledgement_kind);
    if (!fields || fields->size() != field_count)
        return std::make_error_code(std::errc::bad_message);
    std::array<std::uint64_t, field_count> numbers{};
    for (std::size_t index = 2; index < field_count; ++index)
    {
        const std::optional<std::uint64_t> number =
            number_field(*fields, index);
        if (!number)
            return std::make_error_code(std::errc::bad_message);
        numbers[index] = *number;
    }
    return usage_acknowledgement{numbers[2], numbers[3],
                                 to_fleet_time(numbers[4]), numbers[5]};
}

} // namespace hibiscusferry
