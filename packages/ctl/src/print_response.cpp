// Makes one call and prints its response.
#include "print_response.hpp"

namespace cranberrydock::ctl {

exit_code print_response(const api_request& request, text_formatter format,
                         const command_context& context) {
    constexpr int ok = 200;
    const auto response = context.api.call(request);
    if (!response) {
        return context.out.report_failure(response.error(), "send the same command again");
    }
    const json document = json::parse(response->body, nullptr, false);
    if (response->status != ok || document.is_discarded()) {
        return context.out.report_refusal(*response);
    }
    context.out.print_result(document, format(document));
    return exit_code::ok;
}

}  // namespace cranberrydock::ctl
