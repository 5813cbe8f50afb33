/// What a run found, for a person and for a program.
#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "rig/fabric.h"
#include "rig/flood.h"
#include "rig/judge.h"

namespace sassafrasdyke::rig {

/// One service's part of a report.
struct ServiceReport {
  std::string name;
  Balance balance;
};

/// All of it.
struct Report {
  std::string scenario;
  std::string fleet;
  std::uint64_t seed{0};
  double load_seconds{0};  ///< The load's own time, without start and end.
  Tally tally;
  FabricCounts fabric;
  std::vector<ServiceReport> services;
  std::chrono::microseconds answer_median{0};
  std::chrono::microseconds answer_p99{0};
  /// Times until all instances had a new configuration, one for each change.
  std::vector<double> configuration_seconds;
  std::uint64_t configuration_unfinished{0};  ///< Changes never seen by all.
  /// Mean over instances; nothing when no instance said.
  std::optional<double> control_bytes_per_second;
  double platform_calls_per_second{0};
  std::uint64_t crashes{0};
  /// Only of a flood.
  std::optional<FloodCounts> flood;
  /// Processor time of all instances' data paths during the load.
  std::chrono::milliseconds data_cpu{0};
  std::vector<std::string> faults;
};

nlohmann::ordered_json ToJson(const Report& report);
std::string ToTable(const Report& report);

/// Whether nothing happened that must never happen, and something happened at
/// all.
bool Sound(const Report& report);

}  // namespace sassafrasdyke::rig
