#include "main/settings.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

namespace curranttrail {

namespace detail {

    struct SettingsDocument {
        std::string file;
        toml::table root;
        std::vector<SettingsError> errors;
        // Tables and values that a reader requested.
        std::set<const toml::node*> readNodes;
    };

    struct SettingsNode {
        // Null for an absent table.
        const toml::table* table = nullptr;
        std::string prefix;
        std::uint32_t line = 0;
    };

} // namespace detail

namespace {

    std::string_view typeName(const toml::node& node)
    {
        switch (node.type()) {
        case toml::node_type::table:
            return "a table";
        case toml::node_type::array:
            return "an array";
        case toml::node_type::string:
            return "a string";
        case toml::node_type::integer:
            return "an integer";
        case toml::node_type::floating_point:
            return "a number";
        case toml::node_type::boolean:
            return "a boolean";
        default:
            return "a date or time";
        }
    }

    struct Unit {
        std::string_view name;
        double micros;
    };

    constexpr std::array<Unit, 5> kUnits { { { "us", 1 }, { "ms", 1e3 }, { "s", 1e6 }, { "min", 60e6 }, { "h", 3600e6 } } };

    std::optional<Micros> parseDuration(std::string_view text)
    {
        double number = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (ec != std::errc {} || !std::isfinite(number))
            return std::nullopt;
        const std::string_view unit { end, static_cast<std::size_t>(text.data() + text.size() - end) };
        for (const Unit& row : kUnits) {
            const double micros = number * row.micros;
            if (row.name == unit && std::abs(micros) < 1e15)
                return Micros { std::llround(micros) };
        }
        return std::nullopt;
    }

    std::string durationText(Micros duration)
    {
        const std::int64_t count = duration.count();
        if (count % 1'000'000 == 0)
            return fmt::format("{}s", count / 1'000'000);
        if (count % 1'000 == 0)
            return fmt::format("{}ms", count / 1'000);
        return fmt::format("{}us", count);
    }

    // Reads one key of a table and records the errors of its value.
    class ValueReader {
    public:
        ValueReader(detail::SettingsDocument& document, const detail::SettingsNode& node, const std::string& key)
            : m_document(document)
            , m_node(node)
            , m_key(key)
            , m_value(node.table ? node.table->get(key) : nullptr)
        {
            if (m_value)
                m_document.readNodes.insert(m_value);
        }

        const toml::node* value() const { return m_value; }
        std::uint32_t line() const { return m_value ? m_value->source().begin.line : m_node.line; }
        std::string fullKey() const { return m_node.prefix + m_key; }

        void addError(const std::string& expected) const { addErrorAt(fullKey(), line(), expected); }

        void addErrorAt(const std::string& key, std::uint32_t line, const std::string& expected) const
        {
            m_document.errors.push_back({ m_document.file, line, key, expected });
        }

        // Returns true if the key is present, else records an error.
        bool requireKey(const std::string& expected) const
        {
            if (m_value)
                return true;
            addError("expected " + expected + ", but the field is missing");
            return false;
        }

        void addTypeError(const std::string& expected) const { addError(fmt::format("expected {}, found {}", expected, typeName(*m_value))); }

    private:
        detail::SettingsDocument& m_document;
        const detail::SettingsNode& m_node;
        const std::string& m_key;
        const toml::node* m_value;
    };

    std::string readText(const ValueReader& reader)
    {
        const std::optional<std::string> text = reader.value()->value_exact<std::string>();
        if (!text)
            reader.addTypeError("a string");
        else if (text->empty())
            reader.addError("expected a string that is not empty");
        return text.value_or("");
    }

    transport::Endpoint readEndpoint(const ValueReader& reader, const toml::node& node, const std::string& key)
    {
        const std::optional<std::string> text = node.value_exact<std::string>();
        const std::optional<transport::Endpoint> endpoint = text ? transport::parseEndpoint(*text) : std::nullopt;
        if (!endpoint)
            reader.addErrorAt(key, node.source().begin.line, "expected a numeric IPv4 address with a port, such as \"127.0.0.1:8080\"");
        return endpoint.value_or(transport::Endpoint {});
    }

    std::int64_t readInteger(const ValueReader& reader, std::int64_t minimum, std::int64_t maximum)
    {
        const std::optional<std::int64_t> number = reader.value()->value_exact<std::int64_t>();
        if (!number)
            reader.addTypeError("an integer");
        else if (*number < minimum || *number > maximum)
            reader.addError(fmt::format("expected an integer from {} to {}, found {}", minimum, maximum, *number));
        return std::clamp(number.value_or(minimum), minimum, maximum);
    }

    double readReal(const ValueReader& reader, double minimum, double maximum)
    {
        if (!reader.value()->is_number()) {
            reader.addTypeError("a number");
            return minimum;
        }
        const double number = reader.value()->value<double>().value_or(minimum);
        // Written so that NaN is rejected as well.
        if (number >= minimum && number <= maximum)
            return number;
        reader.addError(fmt::format("expected a number from {} to {}, found {}", minimum, maximum, number));
        return minimum;
    }

    Micros readDuration(const ValueReader& reader, Micros minimum, Micros maximum)
    {
        const std::optional<std::string> text = reader.value()->value_exact<std::string>();
        const std::optional<Micros> duration = text ? parseDuration(*text) : std::nullopt;
        if (!duration)
            reader.addError("expected a duration with a unit (us, ms, s, min or h), such as \"250ms\"");
        else if (*duration < minimum || *duration > maximum)
            reader.addError(fmt::format("expected a duration from {} to {}, found \"{}\"", durationText(minimum), durationText(maximum), *text));
        return std::clamp(duration.value_or(minimum), minimum, maximum);
    }

    // Appends an error for each key below the table that no reader requested.
    void findUnknownKeys(const detail::SettingsDocument& document, const toml::table& table, const std::string& prefix, std::vector<SettingsError>& errors)
    {
        for (const auto& [key, node] : table) {
            const std::string name = prefix + std::string { key.str() };
            if (!document.readNodes.contains(&node)) {
                errors.push_back({ document.file, key.source().begin.line, name, "unknown key" });
                continue;
            }
            if (const toml::table* child = node.as_table())
                findUnknownKeys(document, *child, name + ".", errors);
            const toml::array* array = node.as_array();
            for (std::size_t n = 0; array && n < array->size(); ++n) {
                if (const toml::table* child = array->get(n)->as_table())
                    findUnknownKeys(document, *child, fmt::format("{}[{}].", name, n), errors);
            }
        }
    }

} // namespace

std::string SettingsError::text() const
{
    return key.empty() ? fmt::format("{}:{}: {}", file, line, expected) : fmt::format("{}:{}: {}: {}", file, line, key, expected);
}

SettingsTable::SettingsTable(std::shared_ptr<detail::SettingsDocument> document, std::shared_ptr<detail::SettingsNode> node)
    : m_document(std::move(document))
    , m_node(std::move(node))
{
}

bool SettingsTable::has(const std::string& key) const
{
    return m_node->table && m_node->table->contains(key);
}

std::string SettingsTable::text(const std::string& key) const
{
    const ValueReader reader(*m_document, *m_node, key);
    return reader.requireKey("a string") ? readText(reader) : "";
}

transport::Endpoint SettingsTable::endpoint(const std::string& key) const
{
    const ValueReader reader(*m_document, *m_node, key);
    return reader.requireKey("a numeric IPv4 address with a port") ? readEndpoint(reader, *reader.value(), reader.fullKey()) : transport::Endpoint {};
}

std::int64_t SettingsTable::integer(const std::string& key, std::int64_t minimum, std::int64_t maximum) const
{
    const ValueReader reader(*m_document, *m_node, key);
    return reader.requireKey("an integer") ? readInteger(reader, minimum, maximum) : minimum;
}

double SettingsTable::real(const std::string& key, double minimum, double maximum) const
{
    const ValueReader reader(*m_document, *m_node, key);
    return reader.requireKey("a number") ? readReal(reader, minimum, maximum) : minimum;
}

Micros SettingsTable::duration(const std::string& key, Micros minimum, Micros maximum) const
{
    const ValueReader reader(*m_document, *m_node, key);
    return reader.requireKey("a duration with a unit") ? readDuration(reader, minimum, maximum) : minimum;
}

std::string SettingsTable::text(const std::string& key, const std::string& fallback) const
{
    return has(key) ? text(key) : fallback;
}

transport::Endpoint SettingsTable::endpoint(const std::string& key, const transport::Endpoint& fallback) const
{
    return has(key) ? endpoint(key) : fallback;
}

std::int64_t SettingsTable::integer(const std::string& key, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum) const
{
    return has(key) ? integer(key, minimum, maximum) : fallback;
}

double SettingsTable::real(const std::string& key, double fallback, double minimum, double maximum) const
{
    return has(key) ? real(key, minimum, maximum) : fallback;
}

bool SettingsTable::boolean(const std::string& key, bool fallback) const
{
    const ValueReader reader(*m_document, *m_node, key);
    if (!reader.value())
        return fallback;
    const std::optional<bool> value = reader.value()->value_exact<bool>();
    if (!value)
        reader.addTypeError("a boolean");
    return value.value_or(fallback);
}

Micros SettingsTable::duration(const std::string& key, Micros fallback, Micros minimum, Micros maximum) const
{
    return has(key) ? duration(key, minimum, maximum) : fallback;
}

std::string SettingsTable::choice(const std::string& key, const std::vector<std::string>& words) const
{
    const ValueReader reader(*m_document, *m_node, key);
    const std::string list = fmt::format("one of \"{}\"", fmt::join(words, "\", \""));
    if (!reader.requireKey(list))
        return words.front();
    const std::optional<std::string> text = reader.value()->value_exact<std::string>();
    if (text && std::find(words.begin(), words.end(), *text) != words.end())
        return *text;
    reader.addError("expected " + list);
    return words.front();
}

std::vector<std::string> SettingsTable::texts(const std::string& key) const
{
    std::vector<std::string> result;
    const ValueReader reader(*m_document, *m_node, key);
    if (!reader.value())
        return result;
    const toml::array* array = reader.value()->as_array();
    if (!array) {
        reader.addTypeError("an array of strings");
        return result;
    }
    for (std::size_t n = 0; n < array->size(); ++n) {
        const toml::node& node = *array->get(n);
        if (const std::optional<std::string> text = node.value_exact<std::string>())
            result.push_back(*text);
        else
            reader.addErrorAt(fmt::format("{}[{}]", reader.fullKey(), n), node.source().begin.line, fmt::format("expected a string, found {}", typeName(node)));
    }
    return result;
}

std::vector<transport::Endpoint> SettingsTable::endpoints(const std::string& key) const
{
    std::vector<transport::Endpoint> result;
    const ValueReader reader(*m_document, *m_node, key);
    if (!reader.value())
        return result;
    const toml::array* array = reader.value()->as_array();
    if (!array) {
        reader.addTypeError("an array of addresses");
        return result;
    }
    for (std::size_t n = 0; n < array->size(); ++n)
        result.push_back(readEndpoint(reader, *array->get(n), fmt::format("{}[{}]", reader.fullKey(), n)));
    return result;
}

SettingsTable SettingsTable::table(const std::string& key) const
{
    const ValueReader reader(*m_document, *m_node, key);
    const toml::table* table = reader.value() ? reader.value()->as_table() : nullptr;
    if (reader.value() && !table)
        reader.addTypeError("a table");
    return { m_document, std::make_shared<detail::SettingsNode>(detail::SettingsNode { table, reader.fullKey() + ".", reader.line() }) };
}

std::vector<SettingsTable> SettingsTable::tables(const std::string& key) const
{
    std::vector<SettingsTable> result;
    const ValueReader reader(*m_document, *m_node, key);
    if (!reader.value())
        return result;
    const toml::array* array = reader.value()->as_array();
    if (!array) {
        reader.addTypeError("an array of tables");
        return result;
    }
    for (std::size_t n = 0; n < array->size(); ++n) {
        const toml::node& node = *array->get(n);
        const std::string name = fmt::format("{}[{}]", reader.fullKey(), n);
        if (const toml::table* table = node.as_table())
            result.push_back({ m_document, std::make_shared<detail::SettingsNode>(detail::SettingsNode { table, name + ".", node.source().begin.line }) });
        else
            reader.addErrorAt(name, node.source().begin.line, fmt::format("expected a table, found {}", typeName(node)));
    }
    return result;
}

std::vector<std::pair<std::string, SettingsTable>> SettingsTable::namedTables(const std::string& key) const
{
    std::vector<std::pair<std::string, SettingsTable>> result;
    const SettingsTable parent = table(key);
    if (!parent.m_node->table)
        return result;
    for (const auto& [name, node] : *parent.m_node->table)
        result.emplace_back(std::string { name.str() }, parent.table(std::string { name.str() }));
    return result;
}

void SettingsTable::reject(const std::string& key, const std::string& expected) const
{
    ValueReader(*m_document, *m_node, key).addError(expected);
}

SettingsFile::SettingsFile(std::shared_ptr<detail::SettingsDocument> document)
    : m_document(std::move(document))
{
}

SettingsFile SettingsFile::load(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream content;
    content << in.rdbuf();
    if (in)
        return parse(content.str(), path);
    SettingsFile file = parse("", path);
    file.m_document->errors.push_back({ path, 0, "", "the file cannot be read" });
    return file;
}

SettingsFile SettingsFile::parse(const std::string& content, const std::string& name)
{
    const std::shared_ptr<detail::SettingsDocument> document = std::make_shared<detail::SettingsDocument>();
    document->file = name;
    try {
        document->root = toml::parse(content, name);
    } catch (const toml::parse_error& error) {
        document->errors.push_back({ name, error.source().begin.line, "", std::string { error.description() } });
    }
    return SettingsFile { document };
}

SettingsTable SettingsFile::root() const
{
    return { m_document, std::make_shared<detail::SettingsNode>(detail::SettingsNode { &m_document->root, "", 1 }) };
}

std::vector<SettingsError> SettingsFile::errors() const
{
    std::vector<SettingsError> errors = m_document->errors;
    findUnknownKeys(*m_document, m_document->root, "", errors);
    std::stable_sort(errors.begin(), errors.end(), [](const SettingsError& a, const SettingsError& b) { return a.line < b.line; });
    return errors;
}

void printErrors(const std::vector<SettingsError>& errors)
{
    for (const SettingsError& error : errors)
        fmt::print(stderr, "{}\n", error.text());
}

} // namespace curranttrail
