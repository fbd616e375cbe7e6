// Findings: everything that is wrong with an input, each with its place, collected and reported
// together instead of one at a time.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cranberrydock::base {

// One fault of an input.
struct finding {
    std::string place;     // file:line or a path such as /teams/survey/upper_limit
    std::string expected;  // what would have been right
    std::string found;     // what stands there
    std::string advice;    // what to do; may be empty
};

class findings {
public:
    void add(finding one) { list_.push_back(std::move(one)); }
    void add_all(const findings& others);

    bool empty() const { return list_.empty(); }
    std::size_t size() const { return list_.size(); }
    const std::vector<finding>& list() const { return list_; }

    // One line a finding: "PLACE: expected EXPECTED, found FOUND; ADVICE".
    std::string text() const;

private:
    std::vector<finding> list_;
};

std::string to_string(const finding& one);

// The word among `known` that `word` was probably meant to be; empty when none is near.
std::string nearest_word(std::string_view word, const std::vector<std::string>& known);

}  // namespace cranberrydock::base
