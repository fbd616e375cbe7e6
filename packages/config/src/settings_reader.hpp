// Reads a TOML document table by table and turns every fault into a finding with its line, key,
// what was expected and what was found.
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
    const char* unit;  // in words; empty for a bare number
};

// One table of the file. Each getter notes its key as known; call refuse_unknown_keys() at the end.
class table_reader {
public:
    // `table` is null when the file has none of that name.
    table_reader(std::string file_name, std::string name, const toml::table* table,
                 base::findings& found);

    bool has(const std::string& key) const;

    // The value, or nothing when the key is absent or faulty; faulty ones are findings.
    std::optional<std::string> text(const std::string& key);
    std::optional<std::int64_t> whole(const std::string& key, const number_range& range);
    std::optional<net::endpoint> endpoint(const std::string& key);
    std::optional<std::string> word(const std::string& key, const std::vector<std::string>& known);

    // As text(), for names of VMs, regions and availability zones, which must be there.
    std::string required_name(const std::string& key, const std::string& what);
    net::endpoint required_endpoint(const std::string& key, const std::string& what);

    void complain(const std::string& key, std::string expected, std::string found,
                  std::string advice = {});
    void refuse_unknown_keys();

    // Where the key stands, or where its table does.
    std::string place(const std::string& key) const;

private:
    const toml::node* find(const std::string& key);

    std::string file_name_;
    std::string name_;
    const toml::table* table_;  // may be null
    base::findings& findings_;
    std::vector<std::string> known_;
};

// "FILE:LINE".
std::string place_of(const std::string& file_name, const toml::source_region& where);

// A value in words short enough for a message.
std::string describe(const toml::node& value);

}  // namespace cranberrydock::config::detail
