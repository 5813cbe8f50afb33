#include "core/load/load_board.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>

#include "core/load/mean_load.h"
#include "core/load/report_validation.h"

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// How long the last report of an instance counts.
constexpr milliseconds kMaxOwnReportAge{2500};
/// Limit of what digests can make this instance keep.
constexpr std::size_t kMaxSenders = 2048;
/// Deviation of the own requests from the mean that shows a burst, in standard
/// deviations. Counts under 1 are taken as 1: two requests in a row are no
/// burst of a service that hardly gets any.
constexpr double kBurstDeviations = 3.0;

constexpr double kRecentSeconds =
    std::chrono::duration<double>(LoadMeter::kRecent).count();

}  // namespace

void LoadBoard::OnTick(milliseconds now, std::size_t domain_instances) {
  this->Expire(now);
  this->instances = domain_instances;
  this->measured = this->meter.Measure(now);
  this->own_report = this->OwnDomainReport(now);
  const std::vector<DomainReport> reports = this->Reports(now);
  const bool knows_others =
      std::ranges::any_of(reports, [this](const DomainReport& report) {
        return report.domain != this->own_domain;
      });
  this->sums.Compute(reports, this->own_domain, this->contacts, now);
  if (!this->own_report || !knows_others) {
    this->sums.Forget();
  }
  std::ranges::move(this->contacts.Changes(this->sums.Totals(), now),
                    std::back_inserter(this->changes));
}

void LoadBoard::OnPause(milliseconds length, milliseconds now) {
  if (!this->resume_filter.OnPause(length, now)) {
    return;
  }
  this->measured.reset();
  this->own_report.reset();
  this->relayed.Clear();
  for (auto& [endpoint, sender] : this->senders) {
    sender.own.reset();
  }
  this->sums.Forget();
}

void LoadBoard::Expire(milliseconds now) {
  std::erase_if(this->senders, [now](const auto& sender) {
    return now - sender.second.heard_at > kMaxOwnReportAge;
  });
  this->relayed.Expire(now);
  this->contacts.Expire(now);
}

void LoadBoard::Append(PeerObservations& observations, milliseconds now) {
  observations.sent_at = now;
  if (this->measured) {
    LoadReport& own = observations.own.emplace();
    for (const MeasuredLoad& one : *this->measured) {
      own.entries.push_back(one.load);
    }
    SortAndCut(own);
  }
  observations.heard = this->contacts.HeardLately(now);
  if (this->own_report) {
    observations.domains.push_back(this->own_report->At(now));
  }
  std::ranges::move(this->relayed.TakeNext(now),
                    std::back_inserter(observations.domains));
}

void LoadBoard::OnObservations(const common::Endpoint& sender,
                               const std::string& domain,
                               const PeerObservations& observations,
                               milliseconds now) {
  if (this->resume_filter.Discards(now)) {
    return;
  }
  this->contacts.RecordHeard(domain, now);
  if (observations.unreadable) {
    ++this->invalid_reports;
  }
  if (observations.Empty() || !this->IsNewer(sender, observations.sent_at)) {
    return;
  }
  this->TakeOwnReport(sender, domain, observations, now);
  for (const DomainContact& contact : observations.heard) {
    // What others have heard of the own domain may be this instance.
    if (contact.domain != this->own_domain &&
        contact.heard_ago >= milliseconds{0}) {
      this->contacts.RecordHeard(contact.domain, now - contact.heard_ago);
    }
  }
  for (const DomainReport& report : observations.domains) {
    if (IsValid(report)) {
      this->relayed.Take(report, now);
    } else {
      ++this->invalid_reports;
    }
  }
}

// A datagram may arrive twice or be overtaken by a later one. A restarted
// instance, whose clock begins anew, is ignored until its former reports have
// expired.
bool LoadBoard::IsNewer(const common::Endpoint& sender,
                        milliseconds sent_at) const {
  const auto found = this->senders.find(sender);
  return found == this->senders.end() || sent_at > found->second.sent_at;
}

void LoadBoard::TakeOwnReport(const common::Endpoint& sender,
                              const std::string& domain,
                              const PeerObservations& observations,
                              milliseconds now) {
  if (this->senders.size() >= kMaxSenders && !this->senders.contains(sender)) {
    return;
  }
  Sender& kept = this->senders[sender];
  kept = {observations.sent_at, now, std::nullopt};
  if (observations.own && !IsValid(*observations.own)) {
    ++this->invalid_reports;
  } else if (domain == this->own_domain) {
    kept.own = observations.own;
  }
}

DomainReport LoadBoard::MeanOfHeard() const {
  DomainReport report{this->own_domain, *this->instances, 0, {}, {}};
  MeanLoad mean;
  if (this->measured) {
    ++report.reporters;
    for (const MeasuredLoad& one : *this->measured) {
      mean.Add(one.load);
    }
  }
  for (const auto& [endpoint, sender] : this->senders) {
    if (sender.own) {
      ++report.reporters;
      std::ranges::for_each(
          sender.own->entries,
          [&mean](const LoadEntry& entry) { mean.Add(entry); });
    }
  }
  report.mean = mean.Of(report.reporters);
  return report;
}

std::optional<KeptReport> LoadBoard::OwnDomainReport(milliseconds now) const {
  KeptReport heard{this->MeanOfHeard(), now};
  if (auto passed_on = this->relayed.OfOwnDomain();
      passed_on && ReporterWeight(*passed_on, now) >
                       static_cast<double>(heard.report.reporters)) {
    passed_on->report.instances = *this->instances;
    return passed_on;
  }
  if (heard.report.reporters == 0) {
    return std::nullopt;
  }
  return heard;
}

LoadReport LoadBoard::WithBursts(const LoadReport& mean) const {
  if (!this->measured) {
    return mean;
  }
  struct Requests {
    double own{0};
    double predicted{0};
  };
  std::map<ServiceKey, Requests> recent;
  for (const MeasuredLoad& one : *this->measured) {
    recent[one.load.service].own += one.recent_requests;
  }
  for (const LoadEntry& entry : mean.entries) {
    recent[entry.service].predicted += entry.requests_per_s * kRecentSeconds;
  }
  std::erase_if(recent, [](const auto& service) {
    const auto& [own, predicted] = service.second;
    return std::abs(own - predicted) <=
           kBurstDeviations * std::sqrt(std::max(predicted, 1.0));
  });
  LoadReport with_bursts;
  for (const LoadEntry& entry : mean.entries) {
    if (!recent.contains(entry.service)) {
      with_bursts.entries.push_back(entry);
    }
  }
  for (const MeasuredLoad& one : *this->measured) {
    if (recent.contains(one.load.service)) {
      const double rate = one.recent_requests / kRecentSeconds;
      with_bursts.entries.push_back({one.load.service, one.load.target_domain,
                                     rate, rate * one.time_at_target_s});
    }
  }
  return with_bursts;
}

std::vector<DomainReport> LoadBoard::Reports(milliseconds now) const {
  std::vector<DomainReport> reports;
  if (this->own_report) {
    DomainReport own = this->own_report->At(now);
    own.mean = this->WithBursts(own.mean);
    reports.push_back(std::move(own));
  }
  std::ranges::move(this->relayed.OfOthers(now), std::back_inserter(reports));
  return reports;
}

}  // namespace sassafrasdyke::core
