// The platform's interfaces over HTTP. Replace this implementation for a platform with another
// protocol; docs/OWN-PLATFORM.md lists the calls.
//
// A write or a run that may have happened is never reported as one that did not happen. Failures
// map to errors as follows:
//   connection never made              -> unavailable, not_sent
//   409                                -> conflict
//   503                                -> unavailable: the service states that nothing was written
//   400, 404, 405, 411, 413, 415       -> unavailable, not_sent: refused before processing
//   lost answer, deadline passed, any other status, malformed answer -> answer_lost
#pragma once

#include <cranberrydock/net/http_client.hpp>
#include <cranberrydock/platform/member_list.hpp>
#include <cranberrydock/platform/object_store.hpp>
#include <cranberrydock/platform/table_service.hpp>
#include <cranberrydock/platform/vm_client.hpp>

#include <memory>

namespace cranberrydock::platform {

// Each object uses `client`, which must outlive it, and makes its callbacks on the client's loop.
std::unique_ptr<table_service> make_http_table_service(net::http_client& client,
                                                       const net::endpoint& service,
                                                       base::milliseconds timeout);
std::unique_ptr<object_store> make_http_object_store(net::http_client& client,
                                                     const net::endpoint& service,
                                                     base::milliseconds timeout);
std::unique_ptr<member_list> make_http_member_list(net::http_client& client,
                                                   const net::endpoint& service,
                                                   base::milliseconds timeout);
std::unique_ptr<vm_client> make_http_vm_client(net::http_client& client);

}  // namespace cranberrydock::platform
