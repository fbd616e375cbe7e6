// Applies and creates RFC 7396 merge patches of configuration documents.
#include <cranberrydock/base/check.hpp>
#include <cranberrydock/config/configuration.hpp>
#include <cranberrydock/config/json_reader.hpp>

namespace cranberrydock::config {
namespace {

using detail::json;

json make_merge_patch(const json& from, const json& to) {
    json patch = json::object();
    for (const auto& it : from.items()) {
        if (!to.contains(it.key())) {
            patch[it.key()] = nullptr;
        }
    }
    for (const auto& it : to.items()) {
        const auto old_value = from.find(it.key());
        const bool both_objects =
            old_value != from.end() && old_value->is_object() && it.value().is_object();
        if (both_objects) {
            json nested_patch = make_merge_patch(*old_value, it.value());
            if (!nested_patch.empty()) {
                patch[it.key()] = std::move(nested_patch);
            }
        } else if (old_value == from.end() || *old_value != it.value()) {
            patch[it.key()] = it.value();
        }
    }
    return patch;
}

json parse_accepted_document(const std::string& document) {
    auto parsed = detail::parse_json(document, "document");
    CRANBERRYDOCK_CHECK(parsed.has_value() && parsed->is_object(),
                        "expected the document of an accepted version, found something else; pass "
                        "only documents that parse_configuration() accepted");
    return std::move(*parsed);
}

}  // namespace

tl::expected<std::string, base::findings> apply_patch(const std::string& document,
                                                      const std::string& patch) {
    auto base_document = detail::parse_json(document, "document");
    auto change = detail::parse_json(patch, "patch");
    base::findings found;
    if (!base_document) {
        found.add_all(base_document.error());
    }
    if (!change) {
        found.add_all(change.error());
    } else if (!change->is_object()) {
        found.add({"patch", "an object (RFC 7396 merge patch)", detail::describe(*change),
                   "name the fields to change; null takes a field out"});
    }
    if (!found.empty()) {
        return tl::unexpected(std::move(found));
    }
    base_document->merge_patch(*change);
    return base_document->dump();
}

std::string difference(const std::string& from, const std::string& to) {
    return make_merge_patch(parse_accepted_document(from), parse_accepted_document(to)).dump();
}

}  // namespace cranberrydock::config
