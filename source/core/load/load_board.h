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
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/load/domain_contacts.h"
#include "core/load/fleet_load.h"
#include "core/load/load_meter.h"
#include "core/load/load_report.h"
#include "core/load/load_sums.h"
#include "core/load/observation_exchange.h"
#include "core/load/relayed_reports.h"
#include "core/load/resume_filter.h"
#include "core/view/route_table.h"

namespace sassafrasdyke::core {

/// Times are monotonic.
class LoadBoard final : public FleetLoad, public ObservationExchange {
 public:
  /// `meter` must outlive the board.
  LoadBoard(std::string domain, LoadMeter& meter)
      : own_domain(std::move(domain)),
        meter(meter),
        relayed(this->own_domain),
        contacts(this->own_domain) {}

  /// Recomputes the load. Called ten times a second. `domain_instances`: live
  /// instances of the own domain, this one included.
  void OnTick(std::chrono::milliseconds now, std::size_t domain_instances);

  /// The process was paused for `length`, too short a pause excepted: nothing
  /// is known until instances are heard anew, and digests that waited in the
  /// socket are discarded. Otherwise a domain that was partitioned meanwhile
  /// would count as reachable.
  void OnPause(std::chrono::milliseconds length, std::chrono::milliseconds now);

  const std::vector<DomainLoad>& Of(const std::string& service) const override {
    return this->sums.Of(service);
  }
  std::optional<std::size_t> DomainInstances() const override {
    return this->instances;
  }

  void Append(PeerObservations& observations,
              std::chrono::milliseconds now) override;
  void OnObservations(const common::Endpoint& sender, const std::string& domain,
                      const PeerObservations& observations,
                      std::chrono::milliseconds now) override;

  /// Load of all services, by domain; for metrics, so also while `Of` is empty.
  const std::vector<DomainLoad>& Totals() const { return this->sums.Totals(); }
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

  /// Drops what is too old to count.
  void Expire(Time now);
  /// Whether the digest is newer than the last one of its sender.
  bool IsNewer(const common::Endpoint& sender, Time sent_at) const;
  /// Keeps the sender's own report.
  void TakeOwnReport(const common::Endpoint& sender, const std::string& domain,
                     const PeerObservations& observations, Time now);
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

  const std::string own_domain;
  LoadMeter& meter;
  ResumeFilter resume_filter;
  std::optional<std::vector<MeasuredLoad>> measured;
  std::optional<std::size_t> instances;
  std::unordered_map<common::Endpoint, Sender, EndpointHash> senders;
  RelayedReports relayed;
  std::optional<KeptReport> own_report;  ///< Of the own domain.
  DomainContacts contacts;
  LoadSums sums;
  std::vector<DomainLoad> changes;
  std::uint64_t invalid_reports{0};
};

}  // namespace sassafrasdyke::core
