// Strong types: values with a tag type, so that a team name can't be passed where a VM name is
// expected and a number of mebibytes can't be added to a number of slots.
#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace cranberrydock::base {

// A name or identifier. Empty means "none". The code that declares the tag defines the valid texts.
template <typename Tag>
class strong_id {
public:
    strong_id() = default;
    explicit strong_id(std::string text) : text_(std::move(text)) {}

    const std::string& str() const { return text_; }
    bool empty() const { return text_.empty(); }

    friend bool operator==(const strong_id& a, const strong_id& b) { return a.text_ == b.text_; }
    friend bool operator!=(const strong_id& a, const strong_id& b) { return a.text_ != b.text_; }
    friend bool operator<(const strong_id& a, const strong_id& b) { return a.text_ < b.text_; }
    friend std::ostream& operator<<(std::ostream& out, const strong_id& id) {
        return out << id.text_;
    }

private:
    std::string text_;
};

// A count or quantity in the unit of the tag. Quantities of different units can't be mixed.
template <typename Tag, typename Rep = std::int64_t>
class strong_number {
public:
    using rep = Rep;

    constexpr strong_number() = default;
    constexpr explicit strong_number(Rep value) : value_(value) {}

    constexpr Rep value() const { return value_; }
    constexpr strong_number next() const { return strong_number(value_ + 1); }

    constexpr strong_number& operator+=(strong_number other) {
        value_ += other.value_;
        return *this;
    }
    constexpr strong_number& operator-=(strong_number other) {
        value_ -= other.value_;
        return *this;
    }
    friend constexpr strong_number operator+(strong_number a, strong_number b) { return a += b; }
    friend constexpr strong_number operator-(strong_number a, strong_number b) { return a -= b; }
    friend constexpr bool operator==(strong_number a, strong_number b) {
        return a.value_ == b.value_;
    }
    friend constexpr bool operator!=(strong_number a, strong_number b) {
        return a.value_ != b.value_;
    }
    friend constexpr bool operator<(strong_number a, strong_number b) {
        return a.value_ < b.value_;
    }
    friend constexpr bool operator>(strong_number a, strong_number b) { return b < a; }
    friend constexpr bool operator<=(strong_number a, strong_number b) { return !(b < a); }
    friend constexpr bool operator>=(strong_number a, strong_number b) { return !(a < b); }
    friend std::ostream& operator<<(std::ostream& out, strong_number n) { return out << n.value_; }

private:
    Rep value_ = 0;
};

}  // namespace cranberrydock::base

template <typename Tag>
struct std::hash<cranberrydock::base::strong_id<Tag>> {
    std::size_t operator()(const cranberrydock::base::strong_id<Tag>& id) const noexcept {
        return std::hash<std::string_view>{}(id.str());
    }
};

template <typename Tag, typename Rep>
struct std::hash<cranberrydock::base::strong_number<Tag, Rep>> {
    std::size_t operator()(cranberrydock::base::strong_number<Tag, Rep> n) const noexcept {
        return std::hash<Rep>{}(n.value());
    }
};
