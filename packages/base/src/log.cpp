// The process's log.
#include <cranberrydock/base/log.hpp>

#include <spdlog/sinks/stdout_sinks.h>

namespace cranberrydock::base {

void start_log(const std::string& who, const std::string& level) {
    auto logger = spdlog::stderr_logger_mt(who);
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l who=%n %v",
                        spdlog::pattern_time_type::utc);
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

}  // namespace cranberrydock::base
