#ifndef HIBISCUSFERRY_CLAIMS_SETTLED_WRITE_ROW_STAMP_HPP
#define HIBISCUSFERRY_CLAIMS_SETTLED_WRITE_ROW_STAMP_HPP

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** The value of a row and the ids of the most recent writes to it.

    The first line of the value contains the write ids, newest first; the
    rest is the payload. A writer that received no response can find its id
    there, even if other writers have updated the row since. A row with an
    empty payload is a tombstone for an absent row: its only purpose is to
    make delayed writes fail.
*/
struct row_stamp
{
    /** Maximum number of write ids stored in a row. */
    static constexpr std::size_t max_write_ids = 8;

    std::vector<std::string> write_ids;
    std::string payload;

    /** Parses a value. A value without a line break is all payload. */
    static row_stamp parse(const std::string& value)
    {
        row_stamp stamp;
        const std::size_t line_end = value.find('\n');
        if (line_end == std::string::npos)
        {
            stamp.payload = value;
            return stamp;
        }
        std::size_t begin = 0;
        while (begin < line_end)
        {
            const std::size_t end = std::min(value.find(' ', begin), line_end);
            stamp.write_ids.push_back(value.substr(begin, end - begin));
            begin = end + 1;
        }
        stamp.payload = value.substr(line_end + 1);
        return stamp;
    }

    /** @param previous  the current value; empty if the row is absent
        @returns the value that replaces `previous` */
    static std::string successor(const std::string& previous,
                                 const std::string& write_id,
                                 const std::string& payload)
    {
        std::string value = write_id;
        const std::vector<std::string> previous_ids = parse(previous).write_ids;
        const std::size_t kept_count =
            std::min(previous_ids.size(), max_write_ids - 1);
        for (std::size_t index = 0; index < kept_count; ++index)
            value += " " + previous_ids[index];
        return value + "\n" + payload;
    }

    /** @returns whether the row's history contains the write */
    bool contains(const std::string& write_id) const
    {
        return std::find(write_ids.begin(), write_ids.end(), write_id) !=
               write_ids.end();
    }

    /** @returns whether the write produced the row's current value */
    bool is_newest(const std::string& write_id) const
    {
        return !write_ids.empty() && write_ids.front() == write_id;
    }

    /** As contains(), for any write made on behalf of an update. The id of
        such a write is the update's id, optionally followed by '/' and a
        suffix. */
    bool contains_update(const std::string& update_id) const
    {
        return std::any_of(write_ids.begin(), write_ids.end(),
                           [&update_id](const std::string& id)
                           { return is_of_update(id, update_id); });
    }

    /** As is_newest(), for any write made on behalf of an update. */
    bool is_newest_update(const std::string& update_id) const
    {
        return !write_ids.empty() && is_of_update(write_ids.front(), update_id);
    }

private:
    static bool is_of_update(const std::string& write_id,
                             const std::string& update_id)
    {
        return write_id.compare(0, update_id.size(), update_id) == 0 &&
               (write_id.size() == update_id.size() ||
                write_id[update_id.size()] == '/');
    }
};

} // namespace hibiscusferry

#endif
