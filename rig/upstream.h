/// A stand-in target with its health port.
#pragma once

#include <chrono>
#include <memory>

#include "common/address.h"
#include "rig/http_server.h"
#include "rig/judge.h"
#include "rig/scheduler.h"
#include "rig/target.h"

namespace sassafrasdyke::rig {

/// One target as the network sees it.
class Upstream final : public HttpHandler {
 public:
  Upstream(const TargetShape& shape, Scheduler& scheduler, Judge& judge,
           SegmentSink& sink)
      : target(shape, scheduler, judge, sink) {}

  /// Opens the health port.
  void Listen(const common::Endpoint& health);
  StandInTarget& Target() { return this->target; }

  HttpReply OnRequest(const HttpRequest& request,
                      std::chrono::milliseconds held) override;

 private:
  StandInTarget target;
  std::unique_ptr<HttpServer> server;
};

}  // namespace sassafrasdyke::rig
