#ifndef HIBISCUSFERRY_SETTINGS_TOML_CHECKED_TABLE_HPP
#define HIBISCUSFERRY_SETTINGS_TOML_CHECKED_TABLE_HPP

#include "settings/toml/settings_problem.hpp"
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** A table of a TOML text whose values are validated as they are read.

    Each accessor is given the allowed range of a value. A missing value yields
    the default. An invalid value is recorded as a problem with its line, and
    the default is returned, so that a single pass finds all problems. finish()
    also reports keys that were never read, such as misspelled ones. Copies
    refer to the same text.
*/
class checked_table
{
public:
    /** Parses a TOML text. Invalid TOML yields an empty table and a
        problem.

        @param file_name  the file name used in the problems
    */
    static checked_table parse(const std::string& text,
                               const std::string& file_name);

    /** Reads a string of at most `max_bytes` bytes. */
    std::string text(const std::string& key, const std::string& fallback,
                     std::size_t max_bytes = 4096) const;

    /** Reads a string that must be present and not empty. */
    std::string required_text(const std::string& key) const;

    /** Reads an integer within the given range, bounds included. */
    std::int64_t integer(const std::string& key, std::int64_t fallback,
                         std::int64_t min_value, std::int64_t max_value) const;

    /** Reads a number within the given range, bounds included. */
    double number(const std::string& key, double fallback, double min_value,
                  double max_value) const;

    bool boolean(const std::string& key, bool fallback) const;

    /** Reads an integer number of milliseconds within the given range. */
    std::chrono::milliseconds
    milliseconds(const std::string& key, std::chrono::milliseconds fallback,
                 std::chrono::milliseconds min_value,
                 std::chrono::milliseconds max_value) const;

    /** Reads one of the allowed strings.

        @returns the index of the value in `allowed`
    */
    std::size_t choice(const std::string& key, std::size_t fallback,
                       const std::vector<std::string>& allowed) const;

    /** Reads an array of strings; a missing key yields an empty array. */
    std::vector<std::string> texts(const std::string& key) const;

    /** Returns the table under a key, or an empty table if the key is
        missing. */
    checked_table table(const std::string& key) const;

    /** Returns the elements of an array of tables. */
    std::vector<checked_table> tables(const std::string& key) const;

    /** Records a problem found by the caller, with the line of a key. */
    void note(const std::string& key, const std::string& message) const;

    /** Records a problem for each key that was never read, in this table and in
        all tables obtained from it.

        @returns all problems of the text, sorted by line
    */
    settings_problems finish() const;

private:
    struct node;
    struct shared_state;

    explicit checked_table(std::shared_ptr<node> table_node);

    std::shared_ptr<node> node_;
};

} // namespace hibiscusferry

#endif
