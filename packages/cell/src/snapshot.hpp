// The work book as the shortest list of records that rebuilds it.
#pragma once

#include <cranberrydock/cell/work_record.hpp>

#include "work_book.hpp"

#include <vector>

namespace cranberrydock::cell {

std::vector<work_record> records_of(const work_book& book);

}  // namespace cranberrydock::cell
