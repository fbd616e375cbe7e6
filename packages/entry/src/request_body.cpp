// Parses the JSON bodies of callers' requests.
#include <cranberrydock/base/base64.hpp>
#include <cranberrydock/config/json_reader.hpp>
#include <cranberrydock/entry/request_body.hpp>

#include <utility>

namespace cranberrydock::entry {
namespace {

using config::detail::object_reader;

std::string read_payload(object_reader& body, base::findings& found) {
    const auto plain = body.text("payload");
    const auto encoded = body.text("payload_base64");
    if (plain && encoded) {
        found.add({body.pointer_to("payload_base64"), "one of payload and payload_base64", "both",
                   "remove one of them"});
    }
    if (!encoded) {
        return plain.value_or("");
    }
    auto bytes = base::from_base64(*encoded);
    if (!bytes) {
        found.add({body.pointer_to("payload_base64"), "base64 with padding", "something else", ""});
        return {};
    }
    return *std::move(bytes);
}

base::resources read_resources(object_reader& body, base::findings& found) {
    base::resources out;
    out.slots = base::slot_count(1);
    const auto* const value = body.member("resources");
    if (value == nullptr) {
        return out;
    }
    object_reader reader(*value, body.pointer_to("resources"), found);
    out.cores = base::millicores(reader.integer("millicores", {0, max_millicores}).value_or(0));
    out.memory =
        base::mebibytes(reader.integer("memory_mib", {0, max_memory_mebibytes}).value_or(0));
    out.accelerators =
        base::accelerator_count(reader.integer("accelerators", {0, max_accelerators}).value_or(0));
    out.slots = base::slot_count(reader.integer("slots", {1, max_slots}).value_or(1));
    reader.report_unknown_fields();
    return out;
}

std::optional<base::milliseconds> read_milliseconds(object_reader& body, const std::string& field) {
    const auto value = body.integer(field, {1, max_milliseconds});
    return value ? std::optional(base::milliseconds(*value)) : std::nullopt;
}

}  // namespace

tl::expected<base::work, base::findings> parse_request_body(const std::string& body) {
    const auto document = config::detail::parse_json(body, "body");
    if (!document) {
        return tl::unexpected(document.error());
    }
    base::findings found;
    object_reader reader(*document, "", found);
    base::work out;
    reader.require("queue", "the name of a queue");
    out.queue = base::queue_name(reader.name("queue").value_or(""));
    out.kind = base::kind_name(reader.name("kind").value_or("default"));
    out.payload = read_payload(reader, found);
    out.need = read_resources(reader, found);
    out.task_count =
        static_cast<std::size_t>(reader.integer("tasks", {1, max_tasks_per_job}).value_or(1));
    out.gang = reader.boolean("gang").value_or(false);
    out.repeatable = reader.boolean("repeatable").value_or(true);
    out.service = reader.boolean("service").value_or(false);
    out.deadline = read_milliseconds(reader, "deadline_ms");
    out.expected_time = read_milliseconds(reader, "expected_ms");
    reader.report_unknown_fields();
    if (!found.empty()) {
        return tl::unexpected(std::move(found));
    }
    return out;
}

}  // namespace cranberrydock::entry
