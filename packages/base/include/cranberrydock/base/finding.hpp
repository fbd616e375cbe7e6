// Findings: the errors of an input with their locations. All errors are collected and reported
// together instead of one at a time.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cranberrydock::base {

// One error in an input.
struct finding {
    std::string place;     // file:line or a path such as /teams/survey/upper_limit
    std::string expected;  // description of a valid value
    std::string found;     // the actual value
    std::string advice;    // suggested action; may be empty
};

class findings {
public:
    void add(finding item) { list_.push_back(std::move(item)); }
    void add_all(const findings& others);

    bool empty() const { return list_.empty(); }
    std::size_t size() const { return list_.size(); }
    const std::vector<finding>& list() const { return list_; }

    // One line per finding, as formatted by to_string().
    std::string text() const;

private:
    std::vector<finding> list_;
};

// "PLACE: expected EXPECTED, found FOUND; ADVICE".
std::string to_string(const finding& item);

// The word of `known` with the smallest edit distance to `word`, for suggestions after a
// misspelling. Empty if none is within a distance of 2.
std::string closest_match(std::string_view word, const std::vector<std::string>& known);

}  // namespace cranberrydock::base
