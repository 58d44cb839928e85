#ifndef HIBISCUSFERRY_OPERATIONS_TIMELINE_MERGED_TIMELINE_HPP
#define HIBISCUSFERRY_OPERATIONS_TIMELINE_MERGED_TIMELINE_HPP

#include "foundation/foundation.hpp"
#include <string>
#include <vector>

namespace hibiscusferry
{

/** An event of one of many processes. */
struct timeline_entry
{
    hybrid_timestamp time;
    std::string process;
    int number = 0;
    std::string name;
    std::string severity;
    std::vector<event_field> fields;

    /** The value of a field, or an empty text. */
    std::string field(const std::string& name) const;
};

/** Which entries are shown; an empty text shows all. */
struct timeline_filter
{
    std::string request;
    std::string service;
    std::string target;
    std::string order;
};

/** The events of many processes in the order of the hybrid logical clock. */
class merged_timeline
{
public:
    /** Takes in a process's /timeline page.
        @returns false when it cannot be read */
    bool add_page(const std::string& page);

    /** All entries that pass the filter, oldest first. */
    std::vector<timeline_entry> entries(const timeline_filter& filter) const;

    /** Events that processes dropped to make room. */
    std::size_t dropped() const;

private:
    std::vector<timeline_entry> entries_;
    std::size_t dropped_ = 0;
};

} // namespace hibiscusferry

#endif
