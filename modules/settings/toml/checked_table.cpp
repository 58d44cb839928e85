#include "settings/toml/checked_table.hpp"

#include <algorithm>
#include <set>

// toml++ 3.3 asserts on the first character of a key before it reports an
// invalid one as an error, for example for "[" at the end of a line. The
// assertions are disabled because the error report is sufficient.
#define TOML_ASSERT(expression) static_cast<void>(0)
#include <toml++/toml.h>

namespace hibiscusferry
{

/** The state shared by all tables of a TOML text. */
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

    /** Reports a value that has the wrong type or is out of range. */
    void reject(const std::string& key, const std::string& allowed)
    {
        add_problem(line_of(key), path(key) + " must be " + allowed);
    }

    const toml::node* lookup(const std::string& key)
    {
        queried_keys.insert(key);
        return table->get(key);
    }

    std::shared_ptr<shared_state> state;
    const toml::table* table = nullptr;
    std::string prefix;
    std::set<std::string> queried_keys;
    std::vector<std::shared_ptr<node>> children;
};

namespace
{

const toml::table empty_table;

std::string range_text(const std::string& kind, const std::string& min_value,
                       const std::string& max_value)
{
    return kind + " from " + min_value + " to " + max_value;
}

} // namespace

checked_table::checked_table(std::shared_ptr<node> table_node)
    : node_(std::move(table_node))
{
}

checked_table checked_table::parse(const std::string& text,
                                   const std::string& file_name)
{
    const std::shared_ptr<node> table_node = std::make_shared<node>();
    table_node->state = std::make_shared<shared_state>();
    table_node->state->file_name = file_name;
    toml::parse_result parsed = toml::parse(text, file_name);
    if (parsed)
    {
        table_node->state->root = std::move(parsed).table();
    }
    else
    {
        table_node->add_problem(parsed.error().source().begin.line,
                                std::string(parsed.error().description()));
    }
    table_node->table = &table_node->state->root;
    return checked_table(table_node);
}

std::string checked_table::text(const std::string& key,
                                const std::string& fallback,
                                std::size_t max_bytes) const
{
    const toml::node* const value = node_->lookup(key);
    if (value == nullptr)
        return fallback;
    const std::optional<std::string> typed_value =
        value->value_exact<std::string>();
    if (!typed_value || typed_value->size() > max_bytes)
    {
        node_->reject(key, "a string of at most " + std::to_string(max_bytes) +
                               " bytes");
        return fallback;
    }
    return *typed_value;
}

std::string checked_table::required_text(const std::string& key) const
{
    const std::string typed_value = text(key, "");
    const toml::node* const value = node_->table->get(key);
    const bool is_empty_text =
        value == nullptr || (value->is_string() && typed_value.empty());
    if (is_empty_text)
        node_->reject(key, "set to a non-empty string");
    return typed_value;
}

std::int64_t checked_table::integer(const std::string& key,
                                    std::int64_t fallback,
                                    std::int64_t min_value,
                                    std::int64_t max_value) const
{
    const toml::node* const value = node_->lookup(key);
    if (value == nullptr)
        return fallback;
    const std::optional<std::int64_t> typed_value =
        value->value_exact<std::int64_t>();
    if (!typed_value || *typed_value < min_value || *typed_value > max_value)
    {
        node_->reject(key, range_text("an integer", std::to_string(min_value),
                                      std::to_string(max_value)));
        return fallback;
    }
    return *typed_value;
}

double checked_table::number(const std::string& key, double fallback,
                             double min_value, double max_value) const
{
    const toml::node* const value = node_->lookup(key);
    if (value == nullptr)
        return fallback;
    const std::optional<double> typed_value = value->value<double>();
    const bool is_number = value->is_number();
    if (!is_number || !typed_value ||
        !(*typed_value >= min_value && *typed_value <= max_value))
    {
        node_->reject(key, range_text("a number", std::to_string(min_value),
                                      std::to_string(max_value)));
        return fallback;
    }
    return *typed_value;
}

bool checked_table::boolean(const std::string& key, bool fallback) const
{
    const toml::node* const value = node_->lookup(key);
    if (value == nullptr)
        return fallback;
    const std::optional<bool> typed_value = value->value_exact<bool>();
    if (!typed_value)
        node_->reject(key, "true or false");
    return typed_value.value_or(fallback);
}

std::chrono::milliseconds
checked_table::milliseconds(const std::string& key,
                            std::chrono::milliseconds fallback,
                            std::chrono::milliseconds min_value,
                            std::chrono::milliseconds max_value) const
{
    return std::chrono::milliseconds(
        integer(key, fallback.count(), min_value.count(), max_value.count()));
}

std::size_t checked_table::choice(const std::string& key, std::size_t fallback,
                                  const std::vector<std::string>& allowed) const
{
    const toml::node* const value = node_->lookup(key);
    if (value == nullptr)
        return fallback;
    const std::optional<std::string> typed_value =
        value->value_exact<std::string>();
    const auto position =
        std::find(allowed.begin(), allowed.end(), typed_value.value_or(""));
    if (typed_value && position != allowed.end())
        return static_cast<std::size_t>(position - allowed.begin());

    std::string names;
    for (const std::string& name : allowed)
        names += (names.empty() ? "\"" : " or \"") + name + "\"";
    node_->reject(key, names);
    return fallback;
}

std::vector<std::string> checked_table::texts(const std::string& key) const
{
    const toml::node* const value = node_->lookup(key);
    if (value == nullptr)
        return {};
    std::vector<std::string> strings;
    const toml::array* const elements = value->as_array();
    if (elements != nullptr)
    {
        for (const toml::node& element : *elements)
        {
            const std::optional<std::string> entry =
                element.value_exact<std::string>();
            if (entry)
                strings.push_back(*entry);
        }
    }
    if (elements == nullptr || strings.size() != elements->size())
        node_->reject(key, "an array of strings");
    return strings;
}

checked_table checked_table::table(const std::string& key) const
{
    const toml::node* const value = node_->lookup(key);
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
    const toml::node* const value = node_->lookup(key);
    if (value == nullptr)
        return {};
    const toml::array* const elements = value->as_array();
    if (elements == nullptr)
    {
        node_->reject(key, "an array of tables");
        return {};
    }
    std::vector<checked_table> child_tables;
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
            node_->path(key) + "[" + std::to_string(child_tables.size()) + "]";
        child->table = element.as_table();
        node_->children.push_back(child);
        child_tables.push_back(checked_table(child));
    }
    return child_tables;
}

void checked_table::note(const std::string& key,
                         const std::string& message) const
{
    node_->add_problem(node_->line_of(key), node_->path(key) + " " + message);
}

settings_problems checked_table::finish() const
{
    std::vector<std::shared_ptr<node>> pending = {node_};
    while (!pending.empty())
    {
        const std::shared_ptr<node> next = pending.back();
        pending.pop_back();
        for (const auto& [key, value] : *next->table)
        {
            const std::string name(key.str());
            if (next->queried_keys.count(name) == 0)
                next->add_problem(value.source().begin.line,
                                  next->path(name) + " is not a known key");
        }
        pending.insert(pending.end(), next->children.begin(),
                       next->children.end());
    }
    settings_problems sorted = node_->state->problems;
    std::stable_sort(
        sorted.begin(), sorted.end(),
        [](const settings_problem& left, const settings_problem& right)
        { return left.line < right.line; });
    return sorted;
}

} // namespace hibiscusferry
