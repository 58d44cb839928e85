#ifndef HIBISCUSFERRY_OPERATIONS_COMMANDS_COMMAND_CONTEXT_HPP
#define HIBISCUSFERRY_OPERATIONS_COMMANDS_COMMAND_CONTEXT_HPP

#include "operations/client/operator_client.hpp"
#include "operations/timeline/merged_timeline.hpp"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Exit codes of ferryctl, for scripts. */
enum class exit_code : int
{
    success = 0,
    failed = 1,      ///< the system could not do it; nothing was changed
    usage = 2,       ///< bad flags, settings or document
    conflict = 3,    ///< another version is current
    not_found = 4,   ///< no such document
    unreachable = 5, ///< no controller answered
    unknown = 6      ///< a change may or may not be made; run it again
};

/** What a command is given. */
struct command_context
{
    /** The arguments after the command's name. */
    std::vector<std::string> arguments;
    bool as_json = false;
    bool as_html = false;
    std::string author;
    /** The change id given; empty makes a new one. */
    std::string change_id;
    /** The version given; none: the current one. */
    std::optional<std::uint64_t> expected_version;
    timeline_filter filter;
    /** Null for commands that need no controller. */
    const operator_client* client = nullptr;
};

/** Prints "ferryctl: MESSAGE" as an error, and returns the code. */
exit_code fail(exit_code code, const std::string& message);

/** Reads a whole file; none when it cannot be read. */
std::optional<std::string> read_file(const std::string& path);

/** The body of a 2xx answer; otherwise prints why not and sets the code. */
std::optional<std::string> body_of(const result<http_response>& answer,
                                   exit_code& code);

} // namespace hibiscusferry

#endif
