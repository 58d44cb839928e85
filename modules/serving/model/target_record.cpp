#include "serving/model/target_record.hpp"

namespace hibiscusferry
{

std::uint64_t hash_of(const target_record& record)
{
    constexpr char separator = '\n';
    std::string text = record.id;
    for (const std::string& field :
         {record.service, record.availability_zone, record.software_version,
          record.endpoint.text(), std::to_string(record.slots),
          std::to_string(static_cast<int>(record.stage)),
          std::to_string(record.is_draining),
          std::to_string(record.is_reclaimable),
          std::to_string(record.started_at.count())})
        text += separator + field;
    return stable_hash(text);
}

} // namespace hibiscusferry
