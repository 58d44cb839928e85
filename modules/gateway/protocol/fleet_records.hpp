#ifndef HIBISCUSFERRY_GATEWAY_PROTOCOL_FLEET_RECORDS_HPP
#define HIBISCUSFERRY_GATEWAY_PROTOCOL_FLEET_RECORDS_HPP

#include "serving/serving.hpp"
#include "storage/storage.hpp"
#include <string>

namespace hibiscusferry
{

/** The format of the table rows that operators and targets write. */
class fleet_records
{
public:
    virtual ~fleet_records() = default;

    /** The key of the row that holds the newest configuration. */
    virtual std::string configuration_key() const = 0;

    /** The name of the table with one row per target. */
    virtual std::string target_table() const = 0;

    /** Parses a configuration. Malformed routes and services are left out and
        listed in fleet_configuration::problems. */
    virtual result<fleet_configuration>
    read_configuration(const std::string& value) const = 0;

    /** Returns a configuration with the keys of workspaces replaced by digests.
        Hosts keep and exchange only this form, which read_configuration()
        parses like the original. */
    virtual std::string without_keys(const std::string& value) const = 0;

    /** Parses the row of a target.
        @returns an error if the row does not describe a usable target */
    virtual result<target_record> read_target(const table_row& row) const = 0;
};

} // namespace hibiscusferry

#endif
