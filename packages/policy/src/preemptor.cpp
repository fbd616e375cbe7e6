// The search over all running tasks: it runs only while urgent work starves, and not often.
#include "preemptor.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace cranberrydock::policy {

namespace {

constexpr double well_above = 1.5;  // times the share

// The part of the cell that the kind's tasks have, whatever its weight.
double in_use(const kind_record& kind) {
    return kind.share * kind.queue->policy->weight();
}

}  // namespace

std::vector<task_record*> preemptor::pick(const kind_record& urgent, const base::resources& need,
                                          std::size_t most, base::time_point now) const {
    std::map<std::uint32_t, std::vector<task_record*>> by_vm;
    tasks_->for_each([&](task_record& one) {
        if (one.running && vms_->open(one.where) && may_stop(one, urgent)) {
            by_vm[one.where.value()].push_back(&one);
        }
    });
    std::vector<option> options;
    for (auto& [vm, stoppable] : by_vm) {
        option one = on_vm(std::move(stoppable), need, now);
        if (!one.victims.empty()) {
            options.push_back(std::move(one));
        }
    }
    std::sort(options.begin(), options.end(),
              [](const option& a, const option& b) { return a.lost < b.lost; });
    std::vector<task_record*> result;
    for (std::size_t i = 0; i < std::min(most, options.size()); ++i) {
        result.insert(result.end(), options[i].victims.begin(), options[i].victims.end());
    }
    return result;
}

// Of other teams only those well above their share lose something: else batch that is about where
// it belongs would be stopped and started over and over. Within its own team urgent work gets by
// force no more than batch is left with; beyond that it waits for ends.
bool preemptor::may_stop(const task_record& one, const kind_record& urgent) const {
    const kind_record& kind = *one.kind;
    if (!one.repeatable || one.stopping || one.gang != nullptr ||
        !kind.queue->policy->may_be_stopped()) {
        return false;
    }
    return kind.team == urgent.team ? in_use(kind) > in_use(urgent)
                                    : roster_->above_share(*kind.team, well_above);
}

preemptor::option preemptor::on_vm(std::vector<task_record*> stoppable, const base::resources& need,
                                   base::time_point now) const {
    std::sort(stoppable.begin(), stoppable.end(),
              [](const task_record* a, const task_record* b) { return a->started > b->started; });
    base::resources room = vms_->room(stoppable.front()->where);
    option result;
    for (task_record* it : stoppable) {
        if (base::fits(need, room)) {
            break;
        }
        room += it->reserved;
        result.lost += now - it->started;
        result.victims.push_back(it);
    }
    return base::fits(need, room) ? result : option{};
}

}  // namespace cranberrydock::policy
