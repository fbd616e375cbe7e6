// Ask and show.
#include "show.hpp"

namespace cranberrydock::ctl {

exit_code show(const api_request& request, text_maker text, const command_context& context) {
    constexpr int ok = 200;
    const auto response = context.api.call(request);
    if (!response) {
        return context.out.failed(response.error(), "send the same command again");
    }
    const json document = json::parse(response->body, nullptr, false);
    if (response->status != ok || document.is_discarded()) {
        return context.out.refused(*response);
    }
    context.out.result(document, text(document));
    return exit_code::ok;
}

}  // namespace cranberrydock::ctl
