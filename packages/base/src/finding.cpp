// Formatting of findings, and suggestions for misspelt words.
#include <cranberrydock/base/finding.hpp>

#include <algorithm>
#include <numeric>

namespace cranberrydock::base {
namespace {

// More distant words are more likely to mislead than to help.
constexpr std::size_t max_suggestion_distance = 2;

std::size_t edit_distance(std::string_view a, std::string_view b) {
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
        }
    }
    return row.back();
}

}  // namespace

void findings::add_all(const findings& others) {
    list_.insert(list_.end(), others.list_.begin(), others.list_.end());
}

std::string findings::text() const {
    std::string out;
    for (const auto& it : list_) {
        out += to_string(it) + "\n";
    }
    return out;
}

std::string to_string(const finding& item) {
    std::string out = item.place + ": expected " + item.expected + ", found " + item.found;
    if (!item.advice.empty()) {
        out += "; " + item.advice;
    }
    return out;
}

std::string closest_match(std::string_view word, const std::vector<std::string>& known) {
    std::string best;
    std::size_t best_distance = max_suggestion_distance + 1;
    for (const auto& it : known) {
        const std::size_t distance = edit_distance(word, it);
        if (distance < best_distance) {
            best_distance = distance;
            best = it;
        }
    }
    return best;
}

}  // namespace cranberrydock::base
