/// Where log lines go: log4cplus, one logger for each channel.
#pragma once

#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "config/settings.h"
#include "observe/log_line.h"

namespace sassafrasdyke::observe {

/// Takes finished lines. The writer task alone calls it.
class LogSink {
 public:
  virtual ~LogSink() = default;
  virtual void Write(const LogLine& line) = 0;
};

/// Writes to a file or to standard output by log4cplus. One per process.
class Log4cplusSink final : public LogSink {
 public:
  /// Opens the log; the error is a sentence for a person.
  static tl::expected<std::unique_ptr<LogSink>, std::string> Open(
      const config::LogSettings& settings);

  ~Log4cplusSink() override;
  void Write(const LogLine& line) override;

 private:
  Log4cplusSink() = default;
};

}  // namespace sassafrasdyke::observe
