// Set-up of the process's logger.
#include <cranberrydock/base/log.hpp>

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace cranberrydock::base {
namespace {

const char* const line_pattern = "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l who=%n %v";
constexpr std::size_t max_queued_lines = 2'048;
constexpr std::chrono::seconds flush_period{1};

}  // namespace

void init_log(const std::string& process_name, const std::string& level) {
    auto logger = spdlog::stderr_logger_mt(process_name);
    logger->set_pattern(line_pattern, spdlog::pattern_time_type::utc);
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

void init_async_log(const std::string& process_name, const std::string& level) {
    spdlog::init_thread_pool(max_queued_lines, 1);
    auto logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>(process_name);
    logger->set_pattern(line_pattern, spdlog::pattern_time_type::utc);
    logger->set_level(spdlog::level::from_str(level));
    spdlog::set_default_logger(std::move(logger));
    spdlog::flush_every(flush_period);
}

std::size_t dropped_log_lines() {
    const auto pool = spdlog::thread_pool();
    return pool ? pool->overrun_counter() : 0;
}

}  // namespace cranberrydock::base
