/// Turns a log event into its JSON line.
#pragma once

#include <string>

#include "config/settings.h"
#include "observe/log_event.h"

namespace sassafrasdyke::observe {

/// A line with what decides whether it is written.
struct LogLine {
  LogChannel channel{LogChannel::kProcess};
  config::LogLevel level{config::LogLevel::kInfo};
  /// One JSON object without a line break.
  std::string json;
};

/// Writes the line of `event`. Text that isn't UTF-8 is replaced, never thrown.
LogLine WriteLine(const LogIdentity& identity, const LogEvent& event);

}  // namespace sassafrasdyke::observe
