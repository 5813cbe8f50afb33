/// The reports of whole domains that instances pass on to each other.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/load/load_report.h"

namespace sassafrasdyke::core {

/// A report, and when it was computed; `report.age` is not kept up to date.
struct KeptReport {
  DomainReport report;
  std::chrono::milliseconds made_at{0};

  /// The report with its present age.
  DomainReport At(std::chrono::milliseconds now) const;
};

/// The number of reporters, halved for each second of age.
double ReporterWeight(const KeptReport& kept, std::chrono::milliseconds now);

/// One report of each domain, for 4 s. Times are monotonic.
class RelayedReports {
 public:
  using Time = std::chrono::milliseconds;

  explicit RelayedReports(std::string own_domain)
      : own_domain(std::move(own_domain)) {}

  /// Keeps the report if it is better than the one that is kept: newer, or, of
  /// the own domain, based on more reporters for its age.
  void Take(const DomainReport& report, Time now);
  void Expire(Time now);
  void Clear() { this->relayed.clear(); }

  /// The report of the own domain.
  std::optional<KeptReport> OfOwnDomain() const;
  /// The reports of all other domains, with their ages.
  std::vector<DomainReport> OfOthers(Time now) const;
  /// Those of the next two other domains, in rotation.
  std::vector<DomainReport> TakeNext(Time now);

 private:
  /// Whether `next` is to replace a kept report of the same domain.
  bool Replaces(const KeptReport& next, const KeptReport& kept, Time now) const;

  const std::string own_domain;
  std::map<std::string, KeptReport> relayed;  ///< By domain.
  std::string last_taken;                     ///< A domain, for the rotation.
};

}  // namespace sassafrasdyke::core
