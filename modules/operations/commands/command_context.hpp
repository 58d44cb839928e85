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
    failed = 1,      ///< the operation failed; nothing was changed
    usage = 2,       ///< invalid flags, settings or document
    conflict = 3,    ///< the current version is a different one
    not_found = 4,   ///< no such document
    unreachable = 5, ///< no controller responded
    unknown = 6      ///< the change may or may not take effect; run it again
};

/** The arguments and flags of a command, and its client. */
struct command_context
{
    /** The arguments that follow the name of the command. */
    std::vector<std::string> arguments;
    bool as_json = false;
    bool as_html = false;
    std::string author;
    /** The requested change id; when empty, a new one is generated. */
    std::string change_id;
    /** The version that the change starts from; std::nullopt for the current
        one. */
    std::optional<std::uint64_t> expected_version;
    timeline_filter filter;
    /** Null for commands that need no controller. */
    const operator_client* client = nullptr;
};

/** Prints "ferryctl: MESSAGE" as an error, and returns the code. */
exit_code fail(exit_code code, const std::string& message);

/** Reads a complete file; std::nullopt when it cannot be read. */
std::optional<std::string> read_file(const std::string& path);

/** Returns the body of a 2xx response; otherwise prints the error and sets the
    code. */
std::optional<std::string> body_of(const result<http_response>& response,
                                   exit_code& code);

} // namespace hibiscusferry

#endif
