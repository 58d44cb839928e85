#ifndef HIBISCUSFERRY_OPERATIONS_TIMELINE_TIMELINE_PAGE_HPP
#define HIBISCUSFERRY_OPERATIONS_TIMELINE_TIMELINE_PAGE_HPP

#include "operations/timeline/merged_timeline.hpp"
#include <string>
#include <vector>

namespace hibiscusferry
{

/** A line of text for each entry, times in UTC. */
std::string to_text(const std::vector<timeline_entry>& entries);

/** A JSON array of the entries. */
std::string to_json(const std::vector<timeline_entry>& entries);

/** A self-contained HTML page with a column for each process and a field to
    search in. */
std::string to_html(const std::vector<timeline_entry>& entries);

} // namespace hibiscusferry

#endif
