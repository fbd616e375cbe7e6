// Changes to the configuration.
#include "config_edit.hpp"

namespace cranberrydock::ctl {
namespace {

constexpr int ok = 200;
constexpr int conflict = 409;
constexpr int max_attempts = 5;  // when other operators commit versions at the same time

}  // namespace

tl::expected<versioned_document, exit_code> read_newest(const command_context& context) {
    api_request request;
    request.path = "/v1/config";
    const auto response = context.api.call(request);
    if (!response) {
        return tl::unexpected(context.out.report_failure(response.error(), ""));
    }
    const json document = json::parse(response->body, nullptr, false);
    const bool complete = document.is_object() && document.contains("version") &&
                          document["version"].is_number_integer() && document.contains("document");
    if (response->status != ok || !complete) {
        return tl::unexpected(context.out.report_refusal(*response));
    }
    return versioned_document{document["version"].get<std::int64_t>(), document["document"]};
}

tl::expected<std::int64_t, exit_code> send_patch(const std::string& patch, bool retry_on_conflict,
                                                 const command_context& context) {
    const auto& given_base = context.settings.edit.base;
    for (int attempt = 1;; ++attempt) {
        std::int64_t base = given_base.value_or(0);
        if (!given_base) {
            const auto newest = read_newest(context);
            if (!newest) {
                return tl::unexpected(newest.error());
            }
            base = newest->version;
        }
        api_request request;
        request.method = net::http_method::patch;
        request.path = "/v1/config";
        request.query = "base=" + std::to_string(base);
        request.body = patch;
        request.headers = {{"Content-Type", "application/merge-patch+json"}};
        request.repeatable = false;
        const auto response = context.api.call(request);
        if (!response) {
            return tl::unexpected(context.out.report_failure(
                response.error(), "look whether the patch is there: cranberryctl config history"));
        }
        const json document = json::parse(response->body, nullptr, false);
        const bool accepted = response->status == ok && document.is_object() &&
                              document.contains("version") &&
                              document["version"].is_number_integer();
        if (accepted) {
            return document["version"].get<std::int64_t>();
        }
        const bool retry = response->status == conflict && retry_on_conflict && !given_base &&
                           attempt < max_attempts;
        if (!retry) {
            return tl::unexpected(context.out.report_refusal(*response));
        }
        output::print_note("another operator has changed version " + std::to_string(base) +
                           " at the same time; sending the patch again");
    }
}

exit_code set_entry(const edited_entry& entry, const command_context& context) {
    const json patch = {{entry.list, {{entry.name, entry.fields}}}};
    const auto version = send_patch(patch.dump(), true, context);
    if (!version) {
        return version.error();
    }
    context.out.print_result({{entry.singular, entry.name}, {"version", *version}},
                             "version " + std::to_string(*version) + " is accepted\n");
    return exit_code::ok;
}

}  // namespace cranberrydock::ctl
