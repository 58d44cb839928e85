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

/** A table of a TOML text whose values are asked for one by one.

    Each question names what is allowed; what is not is noted as a problem
    with its line, and the default is returned, so that one reading finds
    all problems. Keys that were never asked for are problems too, noted by
    finish(). Copies refer to the same text.
*/
class checked_table
{
public:
    /** Reads a whole text. A text that is no TOML gives an empty table and
        a problem. */
    static checked_table parse(const std::string& text,
                               const std::string& file_name);

    /** A text of at most `most_bytes` bytes. */
    std::string text(const std::string& key, const std::string& fallback,
                     std::size_t most_bytes = 4096) const;

    /** A text that must be there and not be empty. */
    std::string required_text(const std::string& key) const;

    std::int64_t integer(const std::string& key, std::int64_t fallback,
                         std::int64_t least, std::int64_t most) const;
    double number(const std::string& key, double fallback, double least,
                  double most) const;
    bool boolean(const std::string& key, bool fallback) const;

    /** An integer number of milliseconds. */
    std::chrono::milliseconds
    milliseconds(const std::string& key, std::chrono::milliseconds fallback,
                 std::chrono::milliseconds least,
                 std::chrono::milliseconds most) const;

    /** One of the allowed texts, as its index. */
    std::size_t choice(const std::string& key, std::size_t fallback,
                       const std::vector<std::string>& allowed) const;

    std::vector<std::string> texts(const std::string& key) const;

    /** The table under a key; an empty one when it is absent. */
    checked_table table(const std::string& key) const;

    /** The tables of an array of tables. */
    std::vector<checked_table> tables(const std::string& key) const;

    /** Notes a problem of the caller's own with the line of a key. */
    void note(const std::string& key, const std::string& message) const;

    /** Notes keys that were not asked for, here and in all tables taken
        from this one, and returns all problems of the text. */
    settings_problems finish() const;

private:
    struct node;
    struct shared_state;

    explicit checked_table(std::shared_ptr<node> place);

    std::shared_ptr<node> node_;
};

} // namespace hibiscusferry

#endif
