#pragma once

#include "core/units.h"
#include "transport/http_message.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace curranttrail {

// An error in a settings file: its position and what was expected there.
struct SettingsError {
    std::string file;
    std::uint32_t line = 0;
    // Full key, such as "control.members[2].address"; empty for a syntax error.
    std::string key;
    std::string expected;

    std::string text() const;
};

namespace detail {
    struct SettingsDocument;
    struct SettingsNode;
}

// A table of a settings file. Readers request every key that they know. For an invalid value an error is recorded in the file and
// a valid value is returned, so that all errors of a file are found in one pass. Keys that no reader requested are errors
// as well.
class SettingsTable {
public:
    // True if the key is present, whatever its value.
    bool has(const std::string& key) const;

    // Required values.
    std::string text(const std::string& key) const;
    transport::Endpoint endpoint(const std::string& key) const;
    std::int64_t integer(const std::string& key, std::int64_t minimum, std::int64_t maximum) const;
    double real(const std::string& key, double minimum, double maximum) const;
    // A string with a unit, "us", "ms", "s", "min" or "h", such as "250ms".
    Micros duration(const std::string& key, Micros minimum, Micros maximum) const;

    // Values with a default.
    std::string text(const std::string& key, const std::string& fallback) const;
    transport::Endpoint endpoint(const std::string& key, const transport::Endpoint& fallback) const;
    std::int64_t integer(const std::string& key, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum) const;
    double real(const std::string& key, double fallback, double minimum, double maximum) const;
    bool boolean(const std::string& key, bool fallback) const;
    Micros duration(const std::string& key, Micros fallback, Micros minimum, Micros maximum) const;

    // A required string that must be one of the given words.
    std::string choice(const std::string& key, const std::vector<std::string>& words) const;
    // Arrays; absent means empty.
    std::vector<std::string> texts(const std::string& key) const;
    std::vector<transport::Endpoint> endpoints(const std::string& key) const;
    // An absent table is read as an empty one, so that its required keys are reported.
    SettingsTable table(const std::string& key) const;
    // The tables of an array of tables; absent means none.
    std::vector<SettingsTable> tables(const std::string& key) const;
    // The tables within a table whose keys are names that the user chooses, in alphabetical order.
    std::vector<std::pair<std::string, SettingsTable>> namedTables(const std::string& key) const;

    // Records an error of the value at the key that only the caller can detect.
    void reject(const std::string& key, const std::string& expected) const;

private:
    friend class SettingsFile;
    SettingsTable(std::shared_ptr<detail::SettingsDocument> document, std::shared_ptr<detail::SettingsNode> node);

    std::shared_ptr<detail::SettingsDocument> m_document;
    std::shared_ptr<detail::SettingsNode> m_node;
};

// A settings file in TOML.
class SettingsFile {
public:
    // A file that cannot be read or parsed gives an empty root and an error.
    static SettingsFile load(const std::string& path);
    static SettingsFile parse(const std::string& content, const std::string& name);

    SettingsTable root() const;

    // Returns all errors found so far and all keys that no reader requested, ordered by line. Must be called after reading.
    std::vector<SettingsError> errors() const;

private:
    explicit SettingsFile(std::shared_ptr<detail::SettingsDocument> document);

    std::shared_ptr<detail::SettingsDocument> m_document;
};

// Exit code of every program when its settings or arguments are invalid.
inline constexpr int kExitInvalidSettings = 2;

// Writes each error as one line to standard error.
void printErrors(const std::vector<SettingsError>& errors);

} // namespace curranttrail
