/// The load of the fleet as this instance knows it: collects its own
/// measurement and the reports of others, and passes reports on.
///
/// An instance hears only a few of its domain directly within the time in which
/// a report says something of the present. So the mean over a whole domain,
/// computed by those who hear most of it, is passed from instance to instance
/// with its age.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/load/fleet_load.h"
#include "core/load/load_meter.h"
#include "core/load/load_report.h"
#include "core/load/observation_exchange.h"
#include "core/load/resume_filter.h"
#include "core/view/route_table.h"

namespace sassafrasdyke::core {

/// Times are monotonic.
class LoadBoard final : public FleetLoad, public ObservationExchange {
 public:
  /// `meter` must outlive the board.
  LoadBoard(std::string domain, LoadMeter& meter)
      : own_domain(std::move(domain)), meter(meter) {}

  /// Recomputes the load. Called ten times a second. `domain_instances`: live
  /// instances of the own domain, this one included.
  void OnTick(std::chrono::milliseconds now, std::size_t domain_instances);

  /// The process was paused for `length`, too short a pause excepted: nothing
  /// is known until instances are heard anew, and digests that waited in the
  /// socket are discarded. Otherwise a domain that was partitioned meanwhile
  /// would count as reachable.
  void OnPause(std::chrono::milliseconds length, std::chrono::milliseconds now);

  const std::vector<DomainLoad>& Of(const std::string& service) const override;
  std::optional<std::size_t> DomainInstances() const override {
    return this->instances;
  }

  void Append(PeerObservations& observations,
              std::chrono::milliseconds now) override;
  void OnObservations(const common::Endpoint& sender, const std::string& domain,
                      const PeerObservations& observations,
                      std::chrono::milliseconds now) override;

  /// Load of all services, by domain; for metrics, so also while `Of` is empty.
  const std::vector<DomainLoad>& Totals() const { return this->totals; }
  /// Returns the domains that have become reachable or unreachable since the
  /// last call, with the load of all services.
  std::vector<DomainLoad> TakeChanges() {
    return std::exchange(this->changes, {});
  }
  /// Reports that were discarded because of their values, or unreadable.
  std::uint64_t InvalidReports() const { return this->invalid_reports; }

 private:
  using Time = std::chrono::milliseconds;

  struct Sender {
    Time sent_at{0};  ///< Of its last digest, by its own clock.
    Time heard_at{0};
    std::optional<LoadReport> own;  ///< Only of instances of the own domain.
  };
  /// A report, and when it was computed; `report.age` is not kept up to date.
  struct KeptReport {
    DomainReport report;
    Time made_at{0};
  };

  /// Drops what is too old to count.
  void Expire(Time now);
  /// Whether the digest is newer than the last one of its sender.
  bool IsNewer(const common::Endpoint& sender, Time sent_at) const;
  void RecordHeard(const std::string& domain, Time at);
  void TakeReport(const DomainReport& report, Time now);
  /// Whether `next` is to replace a relayed report of the same domain.
  bool Replaces(const KeptReport& next, const KeptReport& kept, Time now) const;
  /// The mean of the own measurement and of the reports heard directly.
  DomainReport MeanOfHeard() const;
  /// The own domain's report that is based on most reporters; nothing if there
  /// is none.
  std::optional<KeptReport> OwnDomainReport(Time now) const;
  /// The mean of an instance of the own domain, with the own measurement in
  /// place of each service whose own requests deviate from it.
  LoadReport WithBursts(const LoadReport& mean) const;
  /// The reports of all domains that count now.
  std::vector<DomainReport> Reports(Time now) const;
  /// Whether no other instance was heard lately.
  bool DoubtsOwnLink(Time now) const;
  bool IsReachable(const std::string& domain, Time now) const;
  /// An entry without load for each known domain, in the order of their names.
  std::vector<DomainLoad> NoLoad(const std::vector<DomainReport>& reports,
                                 Time now) const;
  /// Adds the report to the sums.
  void Add(const DomainReport& report);
  void NoteChanges(Time now);

  const std::string own_domain;
  LoadMeter& meter;
  ResumeFilter resume_filter;
  std::optional<std::vector<MeasuredLoad>> measured;
  std::optional<std::size_t> instances;
  std::unordered_map<common::Endpoint, Sender, EndpointHash> senders;
  std::map<std::string, KeptReport> relayed;  ///< By domain.
  std::optional<KeptReport> own_report;       ///< Of the own domain.
  /// When any other instance of a domain was last heard, directly or through
  /// others.
  std::map<std::string, Time> heard_at;
  /// Whether each of these domains was reachable at the last tick.
  std::map<std::string, bool> was_reachable;
  std::string last_appended;  ///< A domain, for the rotation in digests.
  std::unordered_map<ServiceKey, std::vector<DomainLoad>> loads;
  std::vector<DomainLoad> unloaded;  ///< For services without requests.
  std::vector<DomainLoad> totals;
  std::vector<DomainLoad> changes;
  std::uint64_t invalid_reports{0};
};

}  // namespace sassafrasdyke::core
