// Scans the heads of all CBOR items before the library parses the bytes.
#include "cbor.hpp"

#include <cranberrydock/mesh/codec.hpp>

#include <cstdint>
#include <limits>
#include <vector>

namespace cranberrydock::mesh::detail {
namespace {

// The major types of RFC 8949, section 3.1.
enum class major_type : std::uint8_t {
    unsigned_integer = 0,
    negative_integer = 1,
    byte_string = 2,
    text_string = 3,
    list = 4,
    map = 5,
    tag = 6,
    simple = 7,
};

constexpr std::uint8_t major_shift = 5;
constexpr std::uint8_t additional_mask = 0x1f;
constexpr std::uint8_t first_long_argument = 24;  // 24..27: 1, 2, 4 or 8 bytes follow
constexpr std::uint8_t last_long_argument = 27;
constexpr std::uint8_t simple_false = 20;
constexpr std::uint8_t simple_null = 22;

class head_scan {
public:
    explicit head_scan(const std::string& bytes) : bytes_(bytes) {}

    // Returns a description of the first fault, or an empty string when the bytes are safe to
    // parse.
    std::string fault() {
        std::vector<std::uint64_t> remaining = {1};  // items still to read at each depth
        std::size_t items = 0;
        while (!remaining.empty()) {
            if (remaining.back() == 0) {
                remaining.pop_back();
                continue;
            }
            --remaining.back();
            if (++items > codec_limits::cbor_items) {
                return "too many items";
            }
            std::string found = scan_item(remaining);
            if (!found.empty()) {
                return found;
            }
        }
        return position_ == bytes_.size() ? "" : "bytes after the end";
    }

private:
    std::string scan_item(std::vector<std::uint64_t>& remaining) {
        std::uint64_t argument = 0;
        if (position_ == bytes_.size()) {
            return "a truncated item";
        }
        const auto initial = static_cast<std::uint8_t>(bytes_[position_++]);
        const auto type = static_cast<major_type>(initial >> major_shift);
        const std::uint8_t additional = initial & additional_mask;
        if (additional > last_long_argument) {
            return "an item of indefinite length";
        }
        if (!read_argument(additional, argument)) {
            return "a truncated item";
        }
        switch (type) {
            case major_type::unsigned_integer:
            case major_type::negative_integer:
                return argument > std::numeric_limits<std::int64_t>::max()
                           ? "a number of more than 63 bits"
                           : "";
            case major_type::byte_string:
            case major_type::text_string:
                return skip(argument);
            case major_type::list:
                return enter(argument, 1, remaining);
            case major_type::map:
                return enter(argument, 2, remaining);
            case major_type::simple:
                return additional >= simple_false && additional <= simple_null
                           ? ""
                           : "a floating-point number or unknown simple value";
            case major_type::tag:
                break;
        }
        return "a tag";
    }

    bool read_argument(std::uint8_t additional, std::uint64_t& argument) {
        argument = additional;
        if (additional < first_long_argument) {
            return true;
        }
        const std::size_t n = std::size_t{1} << (additional - first_long_argument);
        if (bytes_.size() - position_ < n) {
            return false;
        }
        argument = 0;
        for (std::size_t i = 0; i < n; ++i) {
            argument = argument << 8U | static_cast<std::uint8_t>(bytes_[position_++]);
        }
        return true;
    }

    std::string skip(std::uint64_t n) {
        if (bytes_.size() - position_ < n) {
            return "a truncated string";
        }
        position_ += n;
        return "";
    }

    // Every entry of a container takes at least one byte, so the remaining bytes bound its length.
    std::string enter(std::uint64_t n, std::uint64_t items_per_entry,
                      std::vector<std::uint64_t>& remaining) {
        if (n > bytes_.size() - position_) {
            return "a truncated container";
        }
        if (remaining.size() > codec_limits::cbor_depth) {
            return "containers nested too deeply";
        }
        remaining.push_back(n * items_per_entry);
        return "";
    }

    const std::string& bytes_;
    std::size_t position_ = 0;  // at most bytes_.size()
};

}  // namespace

tl::expected<json, base::findings> read_cbor(const std::string& bytes) {
    base::findings faults;
    const std::string fault = head_scan(bytes).fault();
    if (!fault.empty()) {
        faults.add({"/", "one bounded CBOR item", fault, "use the sender's own encoder"});
        return tl::unexpected(std::move(faults));
    }
    json document = json::from_cbor(bytes, true, false);
    if (document.is_discarded()) {
        faults.add({"/", "CBOR with text keys", "other or malformed CBOR",
                    "use the sender's own encoder"});
        return tl::unexpected(std::move(faults));
    }
    return document;
}

std::string write_cbor(const json& document) {
    std::string out;
    json::to_cbor(document, out);
    return out;
}

json binary(const std::string& bytes) {
    return json::binary({bytes.begin(), bytes.end()});
}

}  // namespace cranberrydock::mesh::detail
