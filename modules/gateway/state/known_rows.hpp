#ifndef HIBISCUSFERRY_GATEWAY_STATE_KNOWN_ROWS_HPP
#define HIBISCUSFERRY_GATEWAY_STATE_KNOWN_ROWS_HPP

#include "storage/storage.hpp"
#include <chrono>
#include <map>
#include <string>

namespace hibiscusferry
{

/** The rows of operators and targets that a host has read last, in the form
    in which hosts tell them to each other. */
struct known_rows
{
    /** The newest configuration; version 0 if none is known. */
    table_row configuration;
    /** The rows of targets by key, as of `targets_version`. */
    std::map<std::string, table_row> targets;
    row_version targets_version = 0;

    /** @param age  how long ago the rows were known to be current */
    std::string encode(std::chrono::milliseconds age) const;
};

/** What a peer has told. */
struct peer_news
{
    known_rows rows;
    std::chrono::milliseconds age{0};

    /** Reads what known_rows::encode() wrote; std::errc::bad_message if it
        is not of that form. */
    static result<peer_news> decode(const std::string& bytes);
};

} // namespace hibiscusferry

#endif
