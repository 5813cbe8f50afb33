#include "core/load/relayed_reports.h"

#include <cmath>
#include <tuple>

#include "core/load/report_validation.h"

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// How long the report of a domain counts.
constexpr milliseconds kMaxDomainReportAge{4000};
/// Reports whose ages differ by less are taken to be of the same time.
constexpr milliseconds kSameAge{300};
/// Domains other than the own one whose reports a digest carries.
constexpr std::size_t kRelayedPerDigest = 2;

}  // namespace

DomainReport KeptReport::At(milliseconds now) const {
  DomainReport aged = this->report;
  aged.age = now - this->made_at;
  return aged;
}

double ReporterWeight(const KeptReport& kept, milliseconds now) {
  const std::chrono::duration<double> age = now - kept.made_at;
  return static_cast<double>(kept.report.reporters) * std::exp2(-age.count());
}

void RelayedReports::Take(const DomainReport& report, Time now) {
  if (report.age > kMaxDomainReportAge) {
    return;
  }
  KeptReport next{report, now - report.age};
  const auto found = this->relayed.find(report.domain);
  if (found == this->relayed.end()) {
    if (this->relayed.size() < kMaxDomains) {
      this->relayed.emplace(report.domain, std::move(next));
    }
  } else if (this->Replaces(next, found->second, now)) {
    found->second = std::move(next);
  }
}

bool RelayedReports::Replaces(const KeptReport& next, const KeptReport& kept,
                              Time now) const {
  if (next.report.domain == this->own_domain) {
    return ReporterWeight(next, now) > ReporterWeight(kept, now);
  }
  const milliseconds newer_by = next.made_at - kept.made_at;
  if (newer_by > kSameAge || newer_by < -kSameAge) {
    return newer_by > milliseconds{0};
  }
  return std::tie(next.report.reporters, next.made_at) >
         std::tie(kept.report.reporters, kept.made_at);
}

void RelayedReports::Expire(Time now) {
  std::erase_if(this->relayed, [now](const auto& kept) {
    return now - kept.second.made_at > kMaxDomainReportAge;
  });
}

std::optional<KeptReport> RelayedReports::OfOwnDomain() const {
  const auto found = this->relayed.find(this->own_domain);
  return found == this->relayed.end() ? std::nullopt
                                      : std::make_optional(found->second);
}

std::vector<DomainReport> RelayedReports::OfOthers(Time now) const {
  std::vector<DomainReport> reports;
  for (const auto& [domain, kept] : this->relayed) {
    if (domain != this->own_domain) {
      reports.push_back(kept.At(now));
    }
  }
  return reports;
}

std::vector<DomainReport> RelayedReports::TakeNext(Time now) {
  std::vector<DomainReport> reports;
  auto next = this->relayed.upper_bound(this->last_taken);
  for (std::size_t i = 0;
       i < this->relayed.size() && reports.size() < kRelayedPerDigest;
       ++i, ++next) {
    if (next == this->relayed.end()) {
      next = this->relayed.begin();
    }
    const auto& [domain, kept] = *next;
    if (domain != this->own_domain &&
        now - kept.made_at <= kMaxDomainReportAge) {
      reports.push_back(kept.At(now));
      this->last_taken = domain;
    }
  }
  return reports;
}

}  // namespace sassafrasdyke::core
