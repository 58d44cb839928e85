#include "sharing/replication/row_compressor.hpp"

#include "sharing/message/text_delta.hpp"
#include <limits>

namespace hibiscusferry
{

namespace
{

constexpr row_version no_base = std::numeric_limits<row_version>::max();
/** Rows whose compressed forms are kept. */
constexpr std::size_t max_kept_rows = 16;
constexpr std::size_t max_value_bytes = 16U << 20;

} // namespace

const compressed_row* row_compressor::compress(const table_row& row,
                                               const table_row* base)
{
    if (rows_.size() >= max_kept_rows && rows_.count(row.key) == 0)
        rows_.clear();
    compressed_versions& kept = rows_[row.key];
    const std::uint64_t digest =
        kept.by_base.empty() || kept.version != row.version
            ? text_digest(row.value)
            : kept.digest;
    if (kept.version != row.version)
        kept.by_base.clear();
    kept.version = row.version;
    kept.digest = digest;
    const row_version base_version = base != nullptr ? base->version : no_base;
    const auto known = kept.by_base.find(base_version);
    if (known != kept.by_base.end())
        return &known->second;
    result<std::string> bytes = encode_text_delta(
        row.value, base != nullptr ? std::string_view(base->value) : "");
    if (!bytes)
        return nullptr;
    return &kept.by_base
                .emplace(base_version,
                         compressed_row{row.key, row.version, base != nullptr,
                                        digest, std::move(bytes.value())})
                .first->second;
}

result<table_row> restore_row(const compressed_row& row,
                              const std::string* base)
{
    if (row.has_base && base == nullptr)
        return std::make_error_code(std::errc::bad_message);
    result<std::string> value = decode_text_delta(
        row.bytes, row.has_base ? std::string_view(*base) : "",
        max_value_bytes);
    if (!value)
        return value.error();
    if (text_digest(value.value()) != row.digest)
        return std::make_error_code(std::errc::bad_message);
    return table_row{row.key, std::move(value.value()), row.version};
}

} // namespace hibiscusferry
