#ifndef HIBISCUSFERRY_SHARING_REPLICATION_ROW_COMPRESSOR_HPP
#define HIBISCUSFERRY_SHARING_REPLICATION_ROW_COMPRESSOR_HPP

#include "foundation/foundation.hpp"
#include "storage/storage.hpp"
#include <map>
#include <string>

namespace hibiscusferry
{

/** A large row as hosts send it to each other. */
struct compressed_row
{
    std::string key;
    row_version version = 0;
    /** Whether the value is restored from the one that the receiving host has;
        otherwise, it is compressed by itself. */
    bool has_base = false;
    /** text_digest() of the value. */
    std::uint64_t digest = 0;
    /** The value in the form of encode_text_delta(). */
    std::string bytes;
};

/** Compresses large rows for other hosts: once for each value that these have,
    however many hosts ask for it. */
class row_compressor
{
public:
    /** Compresses a row.
        @param base  the value that the other host has; null if it has none, or
                     it is not known
        @returns the compressed row, which is valid until the next call; null if
                 it cannot be compressed */
    const compressed_row* compress(const table_row& row, const table_row* base);

private:
    struct compressed_versions
    {
        row_version version = 0;
        std::uint64_t digest = 0;
        /** By the version of the base; without a base, by the maximum. */
        std::map<row_version, compressed_row> by_base;
    };

    /** By the keys of the rows. */
    std::map<std::string, compressed_versions> rows_;
};

/** Restores a compressed row.
    @param base  the value that this host has; null if it has none
    @returns std::errc::bad_message if it cannot be restored from this base */
result<table_row> restore_row(const compressed_row& row,
                              const std::string* base);

} // namespace hibiscusferry

#endif
