/// What an instance counts and measures, in Prometheus' text format. Counters
/// are kept where they arise, and written only when somebody asks.
#pragma once

#include <prometheus/histogram.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/load/fleet_load.h"
#include "core/steering/flow_packet.h"
#include "core/steering/target_watch.h"
#include "front/packet_port.h"
#include "front/peer_exchange.h"
#include "front/store_reader.h"

namespace sassafrasdyke::front {

/// Load of all services at the targets of a domain.
struct DomainGauges {
  core::DomainLoad load;
  std::uint64_t slots{0};  ///< Of targets that accept new flows.
};

/// What the parts of the process know at the moment of a scrape.
struct FrontState {
  PortCounts port;
  StoreCounts store;
  ExchangeCounts exchange;
  std::uint64_t lines_written{0};
  std::uint64_t lines_left_out{0};
  std::uint64_t configuration{0};
  std::uint64_t revision{0};
  std::optional<std::chrono::milliseconds> view_age;
  std::size_t targets_serving{0};
  std::size_t evacuated_domains{0};
  std::size_t targets_cold{0};
  /// By the word for their state; empty unless targets may be ejected.
  std::map<std::string_view, std::size_t> targets_by_health;
  std::size_t routes{0};
  std::vector<DomainGauges> domain_loads;  ///< Empty while load isn't shared.
  std::uint64_t invalid_load_reports{0};
  std::size_t members{0};
  std::size_t openings{0};
  std::size_t openings_waiting{0};
  std::map<std::uint32_t, std::size_t> openings_waiting_by_rank;
  std::map<std::uint32_t, std::uint64_t> openings_refused_by_rank;
  std::size_t remembered_flows{0};
  bool reads_store{false};
  bool ready{false};
};

/// Counts of decisions, and histograms of times.
class FrontMetrics {
 public:
  FrontMetrics();

  void OnDecision(const core::SteeringAction& action);
  void OnProbe(core::ProbeOutcome outcome);
  void OnPause() { ++this->pauses; }
  /// A batch of packets was taken, decided and sent.
  void OnBatch(std::chrono::nanoseconds took);
  /// An answer of the store was put into force.
  void OnApplied(std::chrono::nanoseconds took);
  /// The age of the view when a new flow was placed or refused.
  void OnViewUsed(std::chrono::milliseconds age);

  /// Changes of the view were taken; the view before them had last been
  /// confirmed `unconfirmed` ago.
  void OnChangesTaken(std::chrono::milliseconds unconfirmed);

  std::string Text(const FrontState& state) const;

 private:
  /// By the log's word for the reason.
  using CountByWord = std::map<std::string_view, std::uint64_t>;

  CountByWord sent;
  CountByWord refused;
  CountByWord dropped;
  CountByWord probes;
  std::uint64_t held{0};
  std::uint64_t pauses{0};
  prometheus::Histogram batch;
  prometheus::Histogram applied;
  prometheus::Histogram view_age;
  prometheus::Histogram change_delay;
};

}  // namespace sassafrasdyke::front
