#pragma once

#include <memory>
#include <string>
#include <vector>

#include "toucanmux/request/statement.h"

namespace toucanmux::standin {

struct logged_statement {
  std::string sql;
  std::vector<parameter> values;
};

/// A committed transaction. Databases share record objects, so two logs that
/// contain the same object have the same history up to it.
struct log_record {
  std::uint64_t term = 0;
  std::uint64_t previous = 0;  ///< Log position before the record.
  std::uint64_t lsn = 0;       ///< Log position after the record.
  std::vector<logged_statement> statements;
};

using log_record_ptr = std::shared_ptr<const log_record>;

}  // namespace toucanmux::standin
