#include "operations/commands/command_line.hpp"

#include "operations/commands/document_commands.hpp"
#include "operations/commands/fleet_commands.hpp"
#include <algorithm>
#include <cstring>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(config, "ferryctl.toml",
              "settings file: controllers, routers, operator_key_file, author");
DEFINE_bool(json, false, "print machine-readable JSON");
DEFINE_bool(html, false, "timeline: print a self-contained HTML page");
DEFINE_string(author, "", "apply: recorded with the change");
DEFINE_string(change_id, "",
              "apply: repeat a change whose outcome was unknown");
DEFINE_int64(expected_version, -1,
             "apply: the version that the change starts from; the current "
             "one by default");
DEFINE_string(request, "", "timeline: only events of this request");
DEFINE_string(service, "", "timeline: only events of this service");
DEFINE_string(target, "", "timeline: only events of this target");
DEFINE_string(order, "", "timeline: only events of this order");

namespace hibiscusferry
{

namespace
{

/** A sub-command of ferryctl. */
struct command
{
    const char* name;
    const char* usage;
    const char* summary;
    bool needs_controllers;
    exit_code (*run)(const command_context&);
};

constexpr command commands[] = {
    {"check", "check FILE", "check a service document", false, run_check},
    {"apply", "apply FILE [--author A] [--expected_version N] [--change_id ID]",
     "make the file the document of its service", true, run_apply},
    {"show", "show [SERVICE] [--json]",
     "print a document, or all services with their versions", true, run_show},
    {"history", "history SERVICE [--json]", "list the changes of a document",
     true, run_history},
    {"diff", "diff FILE", "compare a file with the current document", true,
     run_diff},
    {"status", "status [--json]", "show every process of the system", true,
     run_status},
    {"unresolved", "unresolved [--json]",
     "list calls that may run at most once and whose outcome is unknown", true,
     run_unresolved},
    {"timeline",
     "timeline [--request R] [--service S] [--target T] [--order O] "
     "[--json | --html]",
     "merge the events of all processes", true, run_timeline}};

std::string usage_text()
{
    std::string text = "usage: ferryctl COMMAND [--config FILE]\n";
    for (const command& candidate : commands)
        text += std::string("  ") + candidate.usage + "\n      " +
                candidate.summary + "\n";
    return text + "exit codes: 0 success, 1 failed, 2 usage, 3 conflict, 4 not "
                  "found, 5 unreachable, 6 unknown\n";
}

const command* find_command(const std::string& name)
{
    const command* const entry = std::find_if(
        std::begin(commands), std::end(commands),
        [&name](const command& candidate) { return candidate.name == name; });
    return entry == std::end(commands) ? nullptr : entry;
}

bool has_help_flag(int argc, char** argv)
{
    return std::any_of(argv + 1, argv + argc,
                       [](const char* argument)
                       {
                           return std::strcmp(argument, "--help") == 0 ||
                                  std::strcmp(argument, "-h") == 0;
                       });
}

command_context make_context(int argc, char** argv)
{
    command_context context;
    context.arguments.assign(argv + 2, argv + argc);
    context.as_json = FLAGS_json;
    context.as_html = FLAGS_html;
    context.author = FLAGS_author;
    context.change_id = FLAGS_change_id;
    if (FLAGS_expected_version >= 0)
        context.expected_version =
            static_cast<std::uint64_t>(FLAGS_expected_version);
    context.filter = {FLAGS_request, FLAGS_service, FLAGS_target, FLAGS_order};
    return context;
}

std::optional<operator_client> make_client(command_context& context,
                                           exit_code& code)
{
    const std::optional<std::string> text = read_file(FLAGS_config);
    if (!text)
    {
        code = fail(exit_code::usage, FLAGS_config +
                                          " cannot be read; specify the "
                                          "settings with --config FILE");
        return std::nullopt;
    }
    const client_settings_result parsed =
        parse_client_settings(*text, FLAGS_config);
    if (!parsed.settings)
    {
        std::cerr << to_text(parsed.problems);
        code = exit_code::usage;
        return std::nullopt;
    }
    std::string key =
        read_file(parsed.settings->operator_key_file).value_or("");
    key.erase(key.find_last_not_of(" \r\n") + 1);
    if (context.author.empty())
        context.author = parsed.settings->author;
    return operator_client(*parsed.settings, key);
}

} // namespace

int ferryctl_main(int argc, char** argv)
{
    if (has_help_flag(argc, argv))
    {
        const command* const selected = find_command(argv[1]);
        if (selected == nullptr)
            std::cout << usage_text();
        else
            std::cout << "usage: ferryctl " << selected->usage << "\n"
                      << selected->summary << "\n";
        return static_cast<int>(exit_code::success);
    }
    gflags::SetUsageMessage(usage_text());
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const command* const selected = argc < 2 ? nullptr : find_command(argv[1]);
    if (selected == nullptr)
    {
        std::cerr << usage_text();
        return static_cast<int>(exit_code::usage);
    }

    command_context context = make_context(argc, argv);
    exit_code code = exit_code::success;
    std::optional<operator_client> client;
    if (selected->needs_controllers)
    {
        client = make_client(context, code);
        if (!client)
            return static_cast<int>(code);
        context.client = &*client;
    }
    return static_cast<int>(selected->run(context));
}

} // namespace hibiscusferry
