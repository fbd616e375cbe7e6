// Builds the shortest list of records from which the work table can be rebuilt.
#pragma once

#include <cranberrydock/cell/work_record.hpp>

#include "work_table.hpp"

#include <vector>

namespace cranberrydock::cell {

std::vector<work_record> records_of(const work_table& table);

}  // namespace cranberrydock::cell
