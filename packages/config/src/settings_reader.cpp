// Findings out of TOML values.
#include "settings_reader.hpp"

#include <cranberrydock/config/json_reader.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace cranberrydock::config::detail {
namespace {

bool is_ip_number(const std::string& text) {
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

std::string place_of(const std::string& file_name, const toml::source_region& where) {
    return file_name + ":" + std::to_string(std::max<toml::source_index>(where.begin.line, 1));
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
    toml::source_region where{};
    if (table_ != nullptr) {
        const auto it = table_->find(key);
        where = it == table_->end() ? table_->source() : it->first.source();
    }
    return place_of(file_name_, where) + " " + name_ + "." + key;
}

const toml::node* table_reader::find(const std::string& key) {
    known_.push_back(key);
    return table_ == nullptr ? nullptr : table_->get(key);
}

void table_reader::complain(const std::string& key, std::string expected, std::string found,
                            std::string advice) {
    findings_.add({place(key), std::move(expected), std::move(found), std::move(advice)});
}

std::optional<std::string> table_reader::text(const std::string& key) {
    const toml::node* const value = find(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_string()) {
        complain(key, "a string", describe(*value), "put it in quotation marks");
        return std::nullopt;
    }
    return value->as_string()->get();
}

std::optional<std::int64_t> table_reader::whole(const std::string& key, const number_range& range) {
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
    complain(key,
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
    const bool port_zero = value->size() >= 2 && value->compare(value->size() - 2, 2, ":0") == 0;
    if (!is_ip_number(out.address) || (out.port == 0 && !port_zero)) {
        complain(key, "\"ADDRESS:PORT\" with an IP number", "'" + *value + "'",
                 "names are not resolved; write for example \"127.0.0.1:8080\"");
        return std::nullopt;
    }
    return out;
}

std::optional<std::string> table_reader::word(const std::string& key,
                                              const std::vector<std::string>& known) {
    auto value = text(key);
    if (!value || std::find(known.begin(), known.end(), *value) != known.end()) {
        return value;
    }
    complain(key, "one of " + joined(known), "'" + *value + "'", did_you_mean(*value, known));
    return std::nullopt;
}

std::string table_reader::required_name(const std::string& key, const std::string& what) {
    if (!has(key)) {
        known_.push_back(key);
        complain(key, what, "nothing", "add the key to the table [" + name_ + "]");
        return {};
    }
    auto value = text(key);
    if (value && !is_name(*value)) {
        complain(key, name_rule, "'" + *value + "'");
    }
    return value.value_or("");
}

net::endpoint table_reader::required_endpoint(const std::string& key, const std::string& what) {
    if (!has(key)) {
        known_.push_back(key);
        complain(key, what, "nothing", "add the key to the table [" + name_ + "]");
        return {};
    }
    return endpoint(key).value_or(net::endpoint{});
}

void table_reader::refuse_unknown_keys() {
    if (table_ == nullptr) {
        return;
    }
    for (const auto& it : *table_) {
        const std::string key(it.first.str());
        if (std::find(known_.begin(), known_.end(), key) == known_.end()) {
            complain(key, "one of the keys " + joined(known_), "an unknown key",
                     did_you_mean(key, known_));
        }
    }
}

}  // namespace cranberrydock::config::detail
