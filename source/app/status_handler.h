/// Answers the HTTP port from what the tasks have published.
#pragma once

#include "observe/http_server.h"
#include "observe/log_event.h"
#include "observe/metrics.h"
#include "observe/state_board.h"

namespace sassafrasdyke::app {

/// /metrics, /explain and /health.
class StatusHandler final : public observe::HttpHandler {
 public:
  /// All must outlive it.
  StatusHandler(const observe::LogIdentity& identity,
                const observe::Metrics& metrics,
                const observe::StateBoard& board);

  observe::HttpResponse Answer(const observe::HttpRequest& request) override;

 private:
  observe::HttpResponse Explain(const observe::HttpRequest& request) const;
  observe::HttpResponse Health() const;

  observe::LogIdentity identity;
  const observe::Metrics& metrics;
  const observe::StateBoard& board;
};

}  // namespace sassafrasdyke::app
