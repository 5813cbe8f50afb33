/// A log that a test doesn't read.
#pragma once

#include <memory>

#include "observe/decision_log.h"

namespace sassafrasdyke::app {

class QuietSink final : public observe::LogSink {
 public:
  void Write(const observe::LogLine&) override {}
};

struct QuietLog {
  observe::DecisionLog log{{}, std::make_unique<QuietSink>(), 1000};
};

}  // namespace sassafrasdyke::app
