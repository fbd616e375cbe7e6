// The work of one cell and its tasks.
#include "work_table.hpp"

#include <algorithm>
#include <utility>

namespace cranberrydock::cell {
namespace {

constexpr char index_separator = '/';
constexpr char epoch_separator = '@';

}  // namespace

work_state* work_table::find(const base::job_id& job) {
    const auto it = works_.find(job);
    return it == works_.end() ? nullptr : &it->second;
}

const work_state* work_table::find(const base::job_id& job) const {
    const auto it = works_.find(job);
    return it == works_.end() ? nullptr : &it->second;
}

work_state& work_table::add(work_state work) {
    const base::job_id job = work.spec.job;
    auto& kept = works_[job] = std::move(work);
    for (std::size_t i = 0; i < kept.tasks.size(); ++i) {
        tasks_[kept.tasks[i].id] = {job, i};
        if (kept.tasks[i].current) {
            attempts_[kept.tasks[i].current->id] = kept.tasks[i].id;
        }
    }
    return kept;
}

task_state& work_table::add_task(work_state& work, task_state task) {
    work.tasks.push_back(std::move(task));
    task_state& kept = work.tasks.back();
    tasks_[kept.id] = {work.spec.job, work.tasks.size() - 1};
    if (kept.current) {
        attempts_[kept.current->id] = kept.id;
    }
    return kept;
}

task_state* work_table::same_index(work_state& work, const base::task_id& id) {
    const std::string index = index_of(id);
    for (auto& it : work.tasks) {
        if (index_of(it.id) == index) {
            return &it;
        }
    }
    return nullptr;
}

void work_table::replace_task(task_state& old, task_state task) {
    const task_place place = tasks_.at(old.id);
    tasks_.erase(old.id);
    old = std::move(task);
    tasks_[old.id] = place;
}

void work_table::remove(const base::job_id& job) {
    const auto it = works_.find(job);
    if (it == works_.end()) {
        return;
    }
    for (auto& task : it->second.tasks) {
        end_attempt(task);
        tasks_.erase(task.id);
    }
    works_.erase(it);
}

task_ref work_table::find_task(const base::task_id& id) {
    const auto it = tasks_.find(id);
    if (it == tasks_.end()) {
        return {};
    }
    work_state& work = works_.at(it->second.job);
    return {&work, &work.tasks.at(it->second.index)};
}

task_ref work_table::find_attempt(const base::attempt_id& id) {
    const auto it = attempts_.find(id);
    return it == attempts_.end() ? task_ref{} : find_task(it->second);
}

void work_table::begin_attempt(task_state& task, attempt next) {
    end_attempt(task);
    attempts_[next.id] = task.id;
    task.current = std::move(next);
}

void work_table::end_attempt(task_state& task) {
    if (task.current) {
        attempts_.erase(task.current->id);
        task.current.reset();
    }
}

bool may_report_outcome(const work_state& work) {
    if (!work.outcome) {
        return false;
    }
    const bool refused = std::holds_alternative<base::refusal>(*work.outcome);
    return work.outcome_recorded || !work.spec.durable || !refused;
}

bool may_be_readmitted(const work_state& work) {
    const auto* const refused = work.outcome ? std::get_if<base::refusal>(&*work.outcome) : nullptr;
    return refused != nullptr && refused->not_run && !work.cancelled &&
           refused->reason != base::refusal_reason::cancelled;
}

bool never_dispatched(const work_state& work) {
    return std::all_of(work.tasks.begin(), work.tasks.end(), [](const task_state& it) {
        return it.attempts == 0 && !it.current && !it.answer;
    });
}

base::task_id name_task(const base::work& spec, std::size_t index, base::epoch epoch) {
    std::string name = spec.job.str() + index_separator + std::to_string(index);
    if (!spec.durable && spec.repeatable) {
        name += epoch_separator + std::to_string(epoch.value());
    }
    return base::task_id(std::move(name));
}

std::string index_of(const base::task_id& task) {
    const std::string& name = task.str();
    const std::size_t begin = name.rfind(index_separator) + 1;
    return name.substr(begin, name.find(epoch_separator, begin) - begin);
}

base::job_id job_of(const base::task_id& task) {
    return base::job_id(task.str().substr(0, task.str().rfind(index_separator)));
}

}  // namespace cranberrydock::cell
