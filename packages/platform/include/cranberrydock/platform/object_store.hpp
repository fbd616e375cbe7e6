// The platform's object store, for large answers and payloads. Objects are immutable once written.
#pragma once

#include <cranberrydock/platform/table_service.hpp>

#include <functional>
#include <optional>
#include <string>

namespace cranberrydock::platform {

using object_name = base::strong_id<struct object_name_tag>;

using get_callback = std::function<void(tl::expected<std::optional<std::string>, store_error>)>;
using put_callback = std::function<void(tl::expected<void, store_error>)>;

// Calls are asynchronous; each makes its callback once.
class object_store {
public:
    virtual ~object_store() = default;
    // The result is empty when there is no such object.
    virtual void get(const object_name& name, get_callback done) = 0;
    virtual void put(const object_name& name, std::string content, put_callback done) = 0;
};

}  // namespace cranberrydock::platform
