#ifndef HIBISCUSFERRY_GATEWAY_PROTOCOL_FLEET_RECORDS_HPP
#define HIBISCUSFERRY_GATEWAY_PROTOCOL_FLEET_RECORDS_HPP

#include "serving/serving.hpp"
#include "storage/storage.hpp"
#include <memory>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** The text of a configuration and the routes that were read from it. The next
    version is compared with it, so that only changed routes are parsed. */
struct configuration_text
{
    /** An entry of the list of routes. */
    struct route_entry
    {
        /** Where its text is. */
        std::size_t offset = 0;
        std::size_t size = 0;
        /** Null if it is malformed. */
        std::shared_ptr<const route> parsed;
    };

    std::string text;
    std::vector<route_entry> routes;
};

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
        listed in fleet_configuration::problems.
        @param former  the version that was read before, or an empty one;
                       replaced by this version if it can be read */
    virtual result<fleet_configuration>
    read_configuration(std::string value, configuration_text& former) const = 0;

    /** Parses a configuration without regard to other versions. */
    result<fleet_configuration> read_configuration(std::string value) const
    {
        configuration_text none;
        return read_configuration(std::move(value), none);
    }

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
