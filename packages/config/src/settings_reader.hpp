// Reads the tables of a TOML document key by key and records every fault as a finding with its
// line, its key, the expected value and the value found.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/net/http.hpp>

#include <toml++/toml.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::config::detail {

struct number_range {
    std::int64_t lowest;
    std::int64_t highest;
    const char* unit;  // for messages, such as "milliseconds"; empty for a number without a unit
};

// Reads one table of the file. Each getter records its key as known. Call report_unknown_keys()
// after all keys have been read.
class table_reader {
public:
    // `table` is null when the file has no table of that name. `table` and `found` must outlive the
    // reader.
    table_reader(std::string file_name, std::string name, const toml::table* table,
                 base::findings& found);

    bool has(const std::string& key) const;

    // Each returns the value, or nullopt when the key is absent or faulty, and adds a finding when
    // it is faulty.
    std::optional<std::string> text(const std::string& key);
    std::optional<std::int64_t> integer(const std::string& key, const number_range& range);
    std::optional<net::endpoint> endpoint(const std::string& key);
    std::optional<std::string> choice(const std::string& key,
                                      const std::vector<std::string>& known);

    // Each adds a finding also when the key is absent; `description` states the missing value.
    // required_name() is for names of VMs, regions and availability zones.
    std::string required_name(const std::string& key, const std::string& description);
    net::endpoint required_endpoint(const std::string& key, const std::string& description);

    void add_finding(const std::string& key, std::string expected, std::string found,
                     std::string advice = {});
    // Adds a finding for each key that no getter has read.
    void report_unknown_keys();

    // "FILE:LINE TABLE.KEY", with the line of the key, or of its table when the key is absent.
    std::string place(const std::string& key) const;

private:
    const toml::node* find(const std::string& key);

    std::string file_name_;
    std::string name_;
    const toml::table* table_;  // may be null
    base::findings& findings_;
    std::vector<std::string> known_;  // all keys that getters have read
};

// "FILE:LINE".
std::string place_of(const std::string& file_name, const toml::source_region& location);

// Describes a value for a message; tables and arrays give only their type.
std::string describe(const toml::node& value);

}  // namespace cranberrydock::config::detail
