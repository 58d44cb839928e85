#ifndef HIBISCUSFERRY_GATEWAY_PROTOCOL_FLEET_RECORDS_HPP
#define HIBISCUSFERRY_GATEWAY_PROTOCOL_FLEET_RECORDS_HPP

#include "serving/serving.hpp"
#include "storage/storage.hpp"
#include <string>

namespace hibiscusferry
{

/** The form of the rows in which operators and targets speak to the fleet. */
class fleet_records
{
public:
    virtual ~fleet_records() = default;

    /** The key of the row that holds the newest configuration. */
    virtual std::string configuration_key() const = 0;

    /** The table in which each target has a row. */
    virtual std::string target_table() const = 0;

    /** Reads a configuration. Routes and services that cannot be understood
        are left out and named in its problems. */
    virtual result<fleet_configuration>
    read_configuration(const std::string& value) const = 0;

    /** Reads a target's row; an error if it names no target to use. */
    virtual result<target_record> read_target(const table_row& row) const = 0;
};

} // namespace hibiscusferry

#endif
