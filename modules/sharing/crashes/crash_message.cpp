#include "sharing/crashes/crash_message.hpp"

#include "sharing/message/flat_cbor.hpp"
#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** The first field: the name of the protocol, then its format version. */
constexpr std::string_view crash_protocol = "ce";
constexpr std::string_view crash_protocol_version = "ce1";

/** The protocol, the kind, the digest and the number of records. */
constexpr std::size_t fields_per_message = 4;
/** The input, the age of its clearing, the failed probes, the age of the last
    one and the number of crashes. */
constexpr std::size_t fields_per_record = 5;
constexpr std::size_t fields_per_crash = 2;
constexpr std::size_t max_crash_fields =
    fields_per_message +
    crash_message::max_inputs *
        (fields_per_record + fields_per_crash * input_record::max_crashes);

/** Ages above this are not accepted. */
constexpr std::chrono::hours max_record_age{24};
constexpr std::uint64_t max_failed_probes = 1000;

/** Encodes a time as its age in milliseconds plus one; zero is "never". */
std::uint64_t encode_age(time_point time, time_point now)
{
    if (time == time_point())
        return 0;
    const std::chrono::milliseconds age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - time);
    return static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0)) +
           1;
}

/** Reads the numbers of a message one after the other. */
class number_reader
{
public:
    number_reader(const std::vector<message_field>& fields, time_point now)
        : fields_(fields)
        , now_(now)
    {
    }

    std::uint64_t number(std::uint64_t max = UINT64_MAX)
    {
        const std::optional<std::uint64_t> value =
            number_field(fields_, index_++);
        is_valid_ = is_valid_ && value && *value <= max;
        return is_valid_ ? *value : 0;
    }

    time_point age()
    {
        constexpr std::uint64_t max_ms =
            std::chrono::milliseconds(max_record_age).count();
        const std::uint64_t value = number(max_ms + 1);
        return value == 0 ? time_point()
                          : now_ - std::chrono::milliseconds(value - 1);
    }

    /** Whether all numbers existed and were in their range. */
    bool is_valid() const
    {
        return is_valid_;
    }

    bool is_at_end() const
    {
        return index_ == fields_.size();
    }

private:
    const std::vector<message_field>& fields_;
    time_point now_;
    /** The first field is the protocol. */
    std::size_t index_ = 1;
    bool is_valid_ = true;
};

input_record read_input_record(number_reader& reader)
{
    input_record record;
    record.cleared_at = reader.age();
    record.failed_probes =
        static_cast<unsigned>(reader.number(max_failed_probes));
    record.last_probe_failed_at = reader.age();
    const std::uint64_t crashes = reader.number(input_record::max_crashes);
    for (std::uint64_t index = 0; index < crashes; ++index)
    {
        const incarnation_key target = reader.number();
        record.add_crash(target, reader.age());
    }
    return record;
}

} // namespace

bool is_crash_message(std::string_view bytes)
{
    return has_protocol(bytes, crash_protocol);
}

std::string encode_crash_message(const crash_message& message, time_point now)
{
    std::vector<std::uint64_t> numbers{static_cast<std::uint64_t>(message.type),
                                       message.digest, message.records.size()};
    for (const auto& [input, record] : message.records)
    {
        numbers.push_back(input);
        numbers.push_back(encode_age(record.cleared_at, now));
        numbers.push_back(
            std::min<std::uint64_t>(record.failed_probes, max_failed_probes));
        numbers.push_back(encode_age(record.last_probe_failed_at, now));
        numbers.push_back(record.crashes.size());
        for (const auto& [target, seen_at] : record.crashes)
        {
            numbers.push_back(target);
            numbers.push_back(encode_age(seen_at, now));
        }
    }
    nlohmann::json fields{std::string(crash_protocol_version)};
    for (const std::uint64_t number : numbers)
        fields.push_back(number);
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(fields);
    return {bytes.begin(), bytes.end()};
}

result<crash_message> decode_crash_message(std::string_view bytes,
                                           time_point now)
{
    const std::optional<std::vector<message_field>> fields =
        read_flat_cbor(bytes, max_crash_fields);
    if (!fields || fields->empty() ||
        fields->front() != message_field(std::string(crash_protocol_version)))
        return std::make_error_code(std::errc::bad_message);
    number_reader reader(*fields, now);
    crash_message message;
    message.type = static_cast<crash_message::kind>(
        reader.number(static_cast<std::uint64_t>(crash_message::kind::reply)));
    message.digest = reader.number();
    const std::uint64_t records = reader.number(crash_message::max_inputs);
    for (std::uint64_t index = 0; index < records && reader.is_valid(); ++index)
    {
        const input_key input = reader.number();
        message.records[input] = read_input_record(reader);
    }
    if (!reader.is_valid() || !reader.is_at_end())
        return std::make_error_code(std::errc::bad_message);
    return message;
}

} // namespace hibiscusferry
