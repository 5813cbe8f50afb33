/// Reads the metrics ports of instances.
#pragma once

#include <ev++.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <string_view>

#include "common/address.h"

namespace sassafrasdyke::rig {

/// What the rig wants to know of an instance.
struct InstanceMetrics {
  std::uint64_t configuration_revision{0};
  std::uint64_t instances_revision{0};
  /// Sent on the peers' streams since its start.
  double control_bytes{0};
  /// Processor time of the data path since its start.
  std::chrono::milliseconds data_cpu{0};
  std::string text;  ///< All of it, as read.
};

/// Reads the Prometheus text format; names it doesn't know are passed over.
InstanceMetrics ParseMetrics(std::string_view text);

/// Asks ports without waiting.
class MetricsProbe {
 public:
  /// Given nothing when the port didn't answer in time.
  using Reader = std::function<void(std::optional<InstanceMetrics>)>;

  /// `reader` is called once, later.
  void Read(const common::Endpoint& port, Reader reader);

 private:
  /// One question and its answer.
  class Query {
   public:
    Query(const common::Endpoint& port, Reader reader);
    ~Query();
    Query(const Query&) = delete;
    Query& operator=(const Query&) = delete;
    bool Done() const { return this->done; }

   private:
    void OnReady(ev::io& watcher, int events);
    void OnDeadline(ev::timer& timer, int events);
    void Ask();
    void Finish(bool whole);

    int descriptor;
    bool asked{false};
    bool done{false};
    std::string text;
    Reader reader;
    ev::io io;
    ev::timer deadline;
  };

  std::list<Query> queries;
};

}  // namespace sassafrasdyke::rig
