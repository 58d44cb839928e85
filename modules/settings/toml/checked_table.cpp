#include "settings/toml/checked_table.hpp"

#include <algorithm>
#include <set>

// toml++ 3.3 asserts on a key's first character before it reports a bad one
// as an error ("[" and an end of line, for example); the report is enough.
#define TOML_ASSERT(expression) static_cast<void>(0)
#include <toml++/toml.h>

namespace hibiscusferry
{

/** What all tables of one text share. */
struct checked_table::shared_state
{
    toml::table root;
    std::string file_name;
    settings_problems problems;
};

struct checked_table::node
{
    void add_problem(unsigned line, const std::string& message)
    {
        state->problems.push_back({state->file_name, line, message});
    }

    unsigned line_of(const std::string& key) const
    {
        const toml::node* const value = table->get(key);
        return value == nullptr ? table->source().begin.line
                                : value->source().begin.line;
    }

    std::string path(const std::string& key) const
    {
        return prefix.empty() ? key : prefix + "." + key;
    }

    /** Notes that a value has the wrong type or is out of range. */
    void reject(const std::string& key, const std::string& allowed)
    {
        add_problem(line_of(key), path(key) + " must be " + allowed);
    }

    const toml::node* ask(const std::string& key)
    {
        asked.insert(key);
        return table->get(key);
    }

    std::shared_ptr<shared_state> state;
    const toml::table* table = nullptr;
    std::string prefix;
    std::set<std::string> asked;
    std::vector<std::shared_ptr<node>> children;
};

namespace
{

const toml::table empty_table;

std::string range_text(const std::string& kind, const std::string& least,
                       const std::string& most)
{
    return kind + " from " + least + " to " + most;
}

} // namespace

checked_table::checked_table(std::shared_ptr<node> place)
    : node_(std::move(place))
{
}

checked_table checked_table::parse(const std::string& text,
                                   const std::string& file_name)
{
    const std::shared_ptr<node> place = std::make_shared<node>();
    place->state = std::make_shared<shared_state>();
    place->state->file_name = file_name;
    toml::parse_result parsed = toml::parse(text, file_name);
    if (parsed)
    {
        place->state->root = std::move(parsed).table();
    }
    else
    {
        place->add_problem(parsed.error().source().begin.line,
                           std::string(parsed.error().description()));
    }
    place->table = &place->state->root;
    return checked_table(place);
}

std::string checked_table::text(const std::string& key,
                                const std::string& fallback,
                                std::size_t most_bytes) const
{
    const toml::node* const value = node_->ask(key);
    if (value == nullptr)
        return fallback;
    const std::optional<std::string> found = value->value_exact<std::string>();
    if (!found || found->size() > most_bytes)
    {
        node_->reject(key, "a text of at most " + std::to_string(most_bytes) +
                               " bytes");
        return fallback;
    }
    return *found;
}

std::string checked_table::required_text(const std::string& key) const
{
    const std::string found = text(key, "");
    const toml::node* const value = node_->table->get(key);
    const bool is_empty_text =
        value == nullptr || (value->is_string() && found.empty());
    if (is_empty_text)
        node_->reject(key, "given, as a text that is not empty");
    return found;
}

std::int64_t checked_table::integer(const std::string& key,
                                    std::int64_t fallback, std::int64_t least,
                                    std::int64_t most) const
{
    const toml::node* const value = node_->ask(key);
    if (value == nullptr)
        return fallback;
    const std::optional<std::int64_t> found =
        value->value_exact<std::int64_t>();
    if (!found || *found < least || *found > most)
    {
        node_->reject(key, range_text("an integer", std::to_string(least),
                                      std::to_string(most)));
        return fallback;
    }
    return *found;
}

double checked_table::number(const std::string& key, double fallback,
                             double least, double most) const
{
    const toml::node* const value = node_->ask(key);
    if (value == nullptr)
        return fallback;
    const std::optional<double> found = value->value<double>();
    const bool is_number = value->is_number();
    if (!is_number || !found || !(*found >= least && *found <= most))
    {
        node_->reject(key, range_text("a number", std::to_string(least),
                                      std::to_string(most)));
        return fallback;
    }
    return *found;
}

bool checked_table::boolean(const std::string& key, bool fallback) const
{
    const toml::node* const value = node_->ask(key);
    if (value == nullptr)
        return fallback;
    const std::optional<bool> found = value->value_exact<bool>();
    if (!found)
        node_->reject(key, "true or false");
    return found.value_or(fallback);
}

std::chrono::milliseconds checked_table::milliseconds(
    const std::string& key, std::chrono::milliseconds fallback,
    std::chrono::milliseconds least, std::chrono::milliseconds most) const
{
    return std::chrono::milliseconds(
        integer(key, fallback.count(), least.count(), most.count()));
}

std::size_t checked_table::choice(const std::string& key, std::size_t fallback,
                                  const std::vector<std::string>& allowed) const
{
    const toml::node* const value = node_->ask(key);
    if (value == nullptr)
        return fallback;
    const std::optional<std::string> found = value->value_exact<std::string>();
    const auto position =
        std::find(allowed.begin(), allowed.end(), found.value_or(""));
    if (found && position != allowed.end())
        return static_cast<std::size_t>(position - allowed.begin());

    std::string names;
    for (const std::string& name : allowed)
        names += (names.empty() ? "\"" : " or \"") + name + "\"";
    node_->reject(key, names);
    return fallback;
}

std::vector<std::string> checked_table::texts(const std::string& key) const
{
    const toml::node* const value = node_->ask(key);
    if (value == nullptr)
        return {};
    std::vector<std::string> found;
    const toml::array* const elements = value->as_array();
    if (elements != nullptr)
    {
        for (const toml::node& element : *elements)
        {
            const std::optional<std::string> entry =
                element.value_exact<std::string>();
            if (entry)
                found.push_back(*entry);
        }
    }
    if (elements == nullptr || found.size() != elements->size())
        node_->reject(key, "a list of texts");
    return found;
}

checked_table checked_table::table(const std::string& key) const
{
    const toml::node* const value = node_->ask(key);
    const std::shared_ptr<node> child = std::make_shared<node>();
    child->state = node_->state;
    child->prefix = node_->path(key);
    child->table = value == nullptr ? &empty_table : value->as_table();
    if (child->table == nullptr)
    {
        node_->reject(key, "a table");
        child->table = &empty_table;
    }
    node_->children.push_back(child);
    return checked_table(child);
}

std::vector<checked_table> checked_table::tables(const std::string& key) const
{
    const toml::node* const value = node_->ask(key);
    if (value == nullptr)
        return {};
    const toml::array* const elements = value->as_array();
    if (elements == nullptr)
    {
        node_->reject(key, "an array of tables");
        return {};
    }
    std::vector<checked_table> found;
    for (const toml::node& element : *elements)
    {
        if (element.as_table() == nullptr)
        {
            node_->reject(key, "an array of tables");
            continue;
        }
        const std::shared_ptr<node> child = std::make_shared<node>();
        child->state = node_->state;
        child->prefix =
            node_->path(key) + "[" + std::to_string(found.size()) + "]";
        child->table = element.as_table();
        node_->children.push_back(child);
        found.push_back(checked_table(child));
    }
    return found;
}

void checked_table::note(const std::string& key,
                         const std::string& message) const
{
    node_->add_problem(node_->line_of(key), node_->path(key) + " " + message);
}

settings_problems checked_table::finish() const
{
    std::vector<std::shared_ptr<node>> open = {node_};
    while (!open.empty())
    {
        const std::shared_ptr<node> next = open.back();
        open.pop_back();
        for (const auto& [key, value] : *next->table)
        {
            const std::string name(key.str());
            if (next->asked.count(name) == 0)
                next->add_problem(value.source().begin.line,
                                  next->path(name) + " is not a known key");
        }
        open.insert(open.end(), next->children.begin(), next->children.end());
    }
    settings_problems sorted = node_->state->problems;
    std::stable_sort(
        sorted.begin(), sorted.end(),
        [](const settings_problem& left, const settings_problem& right)
        { return left.line < right.line; });
    return sorted;
}

} // namespace hibiscusferry
