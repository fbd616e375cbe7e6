// Reads TOML values and checks their types and ranges.
#include "settings_reader.hpp"

#include <cranberrydock/config/json_reader.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace cranberrydock::config::detail {
namespace {

bool is_ip_address(const std::string& text) {
    std::array<unsigned char, sizeof(in6_addr)> buf{};
    return inet_pton(AF_INET, text.c_str(), buf.data()) == 1 ||
           inet_pton(AF_INET6, text.c_str(), buf.data()) == 1;
}

std::string joined(const std::vector<std::string>& words) {
    std::string out;
    for (const auto& it : words) {
        out += (out.empty() ? "" : ", ") + it;
    }
    return out;
}

}  // namespace

std::string place_of(const std::string& file_name, const toml::source_region& location) {
    return file_name + ":" + std::to_string(std::max<toml::source_index>(location.begin.line, 1));
}

std::string describe(const toml::node& value) {
    if (value.is_table()) {
        return "a table";
    }
    if (value.is_array()) {
        return "an array";
    }
    std::ostringstream out;
    value.visit([&](const auto& it) { out << it; });
    return out.str();
}

table_reader::table_reader(std::string file_name, std::string name, const toml::table* table,
                           base::findings& found)
    : file_name_(std::move(file_name)), name_(std::move(name)), table_(table), findings_(found) {}

bool table_reader::has(const std::string& key) const {
    return table_ != nullptr && table_->contains(key);
}

std::string table_reader::place(const std::string& key) const {
    toml::source_region location{};
    if (table_ != nullptr) {
        const auto it = table_->find(key);
        location = it == table_->end() ? table_->source() : it->first.source();
    }
    return place_of(file_name_, location) + " " + name_ + "." + key;
}

const toml::node* table_reader::find(const std::string& key) {
    known_.push_back(key);
    return table_ == nullptr ? nullptr : table_->get(key);
}

void table_reader::add_finding(const std::string& key, std::string expected, std::string found,
                               std::string advice) {
    findings_.add({place(key), std::move(expected), std::move(found), std::move(advice)});
}

std::optional<std::string> table_reader::text(const std::string& key) {
    const toml::node* const value = find(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_string()) {
        add_finding(key, "a string", describe(*value), "enclose it in quotation marks");
        return std::nullopt;
    }
    return value->as_string()->get();
}

std::optional<std::int64_t> table_reader::integer(const std::string& key,
                                                  const number_range& range) {
    const toml::node* const value = find(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (value->is_integer()) {
        const std::int64_t n = value->as_integer()->get();
        if (n >= range.lowest && n <= range.highest) {
            return n;
        }
    }
    add_finding(key,
                "a whole number from " + std::to_string(range.lowest) + " to " +
                    std::to_string(range.highest) + (*range.unit == '\0' ? "" : " ") + range.unit,
                describe(*value));
    return std::nullopt;
}

std::optional<net::endpoint> table_reader::endpoint(const std::string& key) {
    const auto value = text(key);
    if (!value) {
        return std::nullopt;
    }
    const net::endpoint out = net::parse_endpoint(*value);
    const bool is_port_zero = value->size() >= 2 && value->compare(value->size() - 2, 2, ":0") == 0;
    if (!is_ip_address(out.address) || (out.port == 0 && !is_port_zero)) {
        add_finding(key, "\"ADDRESS:PORT\" with an IP number", "'" + *value + "'",
                    "names are not resolved; write for example \"127.0.0.1:8080\"");
        return std::nullopt;
    }
    return out;
}

std::optional<std::string> table_reader::choice(const std::string& key,
                                                const std::vector<std::string>& known) {
    auto value = text(key);
    if (!value || std::find(known.begin(), known.end(), *value) != known.end()) {
        return value;
    }
    add_finding(key, "one of " + joined(known), "'" + *value + "'", spelling_hint(*value, known));
    return std::nullopt;
}

std::string table_reader::required_name(const std::string& key, const std::string& description) {
    if (!has(key)) {
        known_.push_back(key);
        add_finding(key, description, "nothing", "add the key to the table [" + name_ + "]");
        return {};
    }
    auto value = text(key);
    if (value && !is_name(*value)) {
        add_finding(key, name_rule, "'" + *value + "'");
    }
    return value.value_or("");
}

net::endpoint table_reader::required_endpoint(const std::string& key,
                                              const std::string& description) {
    if (!has(key)) {
        known_.push_back(key);
        add_finding(key, description, "nothing", "add the key to the table [" + name_ + "]");
        return {};
    }
    return endpoint(key).value_or(net::endpoint{});
}

void table_reader::report_unknown_keys() {
    if (table_ == nullptr) {
        return;
    }
    for (const auto& it : *table_) {
        const std::string key(it.first.str());
        if (std::find(known_.begin(), known_.end(), key) == known_.end()) {
            add_finding(key, "one of the keys " + joined(known_), "an unknown key",
                        spelling_hint(key, known_));
        }
    }
}

}  // namespace cranberrydock::config::detail
