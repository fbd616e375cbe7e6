// Every message of every kind is unchanged after encoding and decoding. No input, whether random
// bytes or a mutated valid frame, crashes the decoder or is decoded to a message with a different
// encoding.
#include <cranberrydock/mesh/codec.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <standins/message_text.hpp>

#include <limits>
#include <string>
#include <vector>

namespace {

using namespace cranberrydock;
using base::microseconds;
using base::milliseconds;
using mesh::message;
using standins::to_text;

std::string any_text() {
    return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

std::int64_t any_count() {
    return *rc::gen::oneOf(
        rc::gen::inRange<std::int64_t>(0, 30),
        rc::gen::inRange<std::int64_t>(0, std::numeric_limits<std::int64_t>::max()));
}

bool any_flag() {
    return *rc::gen::arbitrary<bool>();
}

template <typename Id>
Id any_id() {
    return Id(any_text());
}

template <typename Quantity>
Quantity any_quantity() {
    return Quantity(any_count());
}

template <typename Make>
auto any_list(Make make) {
    std::vector<decltype(make())> out;
    const int n = *rc::gen::inRange(0, 4);
    out.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i) {
        out.push_back(make());
    }
    return out;
}

std::optional<milliseconds> any_optional_milliseconds() {
    if (any_flag()) {
        return std::nullopt;
    }
    return milliseconds(any_count());
}

microseconds any_microseconds() {
    return microseconds(*rc::gen::arbitrary<std::int64_t>());
}

int any_attempts() {
    return *rc::gen::inRange(0, std::numeric_limits<int>::max());
}

base::refusal any_refusal() {
    return {*rc::gen::elementOf(base::all_refusal_reasons()), any_flag(), milliseconds(any_count()),
            any_text()};
}

base::trace_step any_step() {
    return {any_text(), any_text(), any_microseconds(), any_microseconds(), any_text()};
}

base::task_answer any_answer() {
    return {any_id<base::task_id>(), any_id<base::vm_id>(), any_text(), any_text(), any_attempts()};
}

base::resources any_need() {
    return {any_quantity<base::millicores>(), any_quantity<base::mebibytes>(),
            any_quantity<base::accelerator_count>(), any_quantity<base::slot_count>()};
}

base::work any_work() {
    base::work out;
    out.id = any_id<base::request_id>();
    out.job = any_id<base::job_id>();
    out.team = any_id<base::team_id>();
    out.key = any_id<base::idempotency_key>();
    out.digest = any_text();
    out.queue = any_id<base::queue_name>();
    out.kind = any_id<base::kind_name>();
    out.payload = any_text();
    out.need = any_need();
    out.task_count = static_cast<std::size_t>(
        *rc::gen::inRange<std::int64_t>(0, mesh::codec_limits::task_count + 1));
    out.gang = any_flag();
    out.repeatable = any_flag();
    out.durable = any_flag();
    out.service = any_flag();
    out.deadline = any_optional_milliseconds();
    out.expected_time = any_optional_milliseconds();
    out.traceparent = any_text();
    return out;
}

base::work_outcome any_outcome() {
    switch (*rc::gen::inRange(0, 3)) {
        case 0:
            return base::work_accepted{};
        case 1:
            return base::work_answered{any_list(any_answer)};
        default:
            return any_refusal();
    }
}

base::job_view any_view() {
    base::job_view out;
    out.job = any_id<base::job_id>();
    out.team = any_id<base::team_id>();
    out.queue = any_id<base::queue_name>();
    out.kind = any_id<base::kind_name>();
    out.state =
        *rc::gen::element(base::job_state::queued, base::job_state::running, base::job_state::done,
                          base::job_state::refused, base::job_state::outcome_unknown);
    out.why = any_text();
    out.tasks = static_cast<std::size_t>(any_count());
    out.tasks_running = static_cast<std::size_t>(any_count());
    out.tasks_done = static_cast<std::size_t>(any_count());
    out.vms = any_list(any_id<base::vm_id>);
    out.attempts = any_attempts();
    out.attempt_reasons = any_list(any_text);
    out.answers = any_list(any_answer);
    if (any_flag()) {
        out.refused = any_refusal();
    }
    out.trace = any_list(any_step);
    return out;
}

mesh::owned_cell any_cell() {
    return {any_id<base::cell_id>(), any_quantity<base::epoch>()};
}

mesh::team_usage any_usage() {
    return {any_id<base::team_id>(), any_quantity<base::slot_count>(),
            any_quantity<base::slot_count>()};
}

message any_of_kind(std::size_t kind) {
    const auto call = any_quantity<mesh::call_id>();
    switch (kind) {
        case 0:
            return mesh::heartbeat{any_quantity<base::config_version>(), any_flag(), any_flag(),
                                   any_list(any_cell), any_list(any_usage)};
        case 1:
            return mesh::submit_work{call, any_id<base::cell_id>(), any_work()};
        case 2:
            return mesh::work_result{call, any_outcome(), any_list(any_step)};
        case 3:
            return mesh::job_query{call, any_id<base::cell_id>(), any_id<base::team_id>(),
                                   any_id<base::job_id>(), any_flag()};
        case 4:
            return mesh::job_reply{call, any_flag(), any_view()};
        case 5:
            return mesh::config_announcement{any_quantity<base::config_version>(), any_text()};
        case 6:
            return mesh::hold_off_request{call, any_list(any_cell)};
        case 7:
            return mesh::hold_off_answer{call, any_flag(), milliseconds(any_count())};
        default:
            return mesh::cells_offered{any_list(any_cell)};
    }
}

message any_message() {
    return any_of_kind(*rc::gen::inRange<std::size_t>(0, std::variant_size_v<message>));
}

// Changes a frame as a faulty or hostile sender could.
std::string mutate(std::string bytes) {
    const int edits = *rc::gen::inRange(1, 4);
    for (int i = 0; i < edits && !bytes.empty(); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        switch (*rc::gen::inRange(0, 4)) {
            case 0:
                bytes[at] = *rc::gen::arbitrary<char>();
                break;
            case 1:
                bytes.resize(at);
                break;
            case 2:
                bytes.insert(at, any_text());
                break;
            default:
                bytes.insert(at, bytes.substr(at / 2));
        }
    }
    return bytes;
}

constexpr int mutations_per_case = 100;

bool is_rejected_or_round_trips(const std::string& bytes) {
    const auto decoded = mesh::decode(bytes);
    return decoded ? mesh::encode(*decoded) == bytes : !decoded.error().empty();
}

TEST(codec, round_trips_every_message_kind) {
    for (std::size_t kind = 0; kind < std::variant_size_v<message>; ++kind) {
        EXPECT_TRUE(rc::check([kind] {
            const message original = any_of_kind(kind);
            const auto decoded = mesh::decode(mesh::encode(original));
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(to_text(*decoded) == to_text(original));
            RC_ASSERT(decoded->index() == kind);
        }));
    }
}

TEST(codec, random_bytes_are_rejected_or_canonical) {
    EXPECT_TRUE(
        rc::check([](const std::string& bytes) { RC_ASSERT(is_rejected_or_round_trips(bytes)); }));
}

TEST(codec, mutated_frames_are_rejected_or_canonical) {
    EXPECT_TRUE(rc::check([] {
        const std::string valid = mesh::encode(any_message());
        for (int i = 0; i < mutations_per_case; ++i) {
            RC_ASSERT(is_rejected_or_round_trips(mutate(valid)));
        }
    }));
}

// On these inputs the library's own parser recurses once per byte.
TEST(codec, deeply_nested_input_is_rejected) {
    constexpr std::size_t depth = 8 * 1024 * 1024;
    const std::string lists(depth, '\x81');
    const std::string endless_texts(depth, '\x7f');
    const std::string endless_bytes(depth, '\x5f');
    const std::string tags(depth, '\xc1');
    for (const auto& it : {lists, endless_texts, endless_bytes, tags}) {
        EXPECT_FALSE(mesh::decode(it).has_value());
    }
}

TEST(codec, every_error_is_reported_with_its_path) {
    // {"type": "hold_off_answer", "call": "x", "given": 1}: three errors.
    const std::string bytes =
        "\xa3\x64type\x6fsilence_promise\x64"
        "call\x61x\x65given\x01";
    const auto decoded = mesh::decode(bytes);
    ASSERT_FALSE(decoded.has_value());
    ASSERT_EQ(decoded.error().size(), 3U);
    EXPECT_EQ(decoded.error().list()[0].place, "/call");
    EXPECT_EQ(decoded.error().list()[1].place, "/given");
    EXPECT_EQ(decoded.error().list()[2].place, "/lasting");
}

}  // namespace
