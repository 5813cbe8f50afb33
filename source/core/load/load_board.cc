#include "core/load/load_board.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>
#include <tuple>

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// How long the last report of an instance counts.
constexpr milliseconds kMaxOwnReportAge{2500};
/// How long the report of a domain counts.
constexpr milliseconds kMaxDomainReportAge{4000};
/// Reports whose ages differ by less are taken to be of the same time.
constexpr milliseconds kSameAge{300};
/// A domain that was not heard for longer is unreachable.
constexpr milliseconds kMaxSilence{1500};
/// Limits of what digests can make this instance keep.
constexpr std::size_t kMaxSenders = 2048;
constexpr std::size_t kMaxDomains = 64;
constexpr std::size_t kMaxServices = 64;
/// Largest plausible number of instances in one domain.
constexpr double kMaxInstances = 2048;
/// A domain of which nothing has been heard for this long is forgotten.
constexpr milliseconds kForgetDomainAfter{60'000};
constexpr std::size_t kMaxNameBytes = 64;
/// Largest plausible number in a report.
constexpr double kMaxValue = 1e6;
/// Domains other than the own one whose reports a digest carries.
constexpr std::size_t kRelayedPerDigest = 2;
/// Deviation of the own requests from the mean that shows a burst, in standard
/// deviations. Counts under 1 are taken as 1: two requests in a row are no
/// burst of a service that hardly gets any.
constexpr double kBurstDeviations = 3.0;

constexpr double kRecentSeconds =
    std::chrono::duration<double>(LoadMeter::kRecent).count();

bool IsName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameBytes;
}

// Comparisons with a value that is no number are false.
bool IsValid(double value) { return value >= 0 && value <= kMaxValue; }

bool IsValid(const LoadReport& report) {
  return report.entries.size() <= kMaxLoadEntries &&
         std::ranges::all_of(report.entries, [](const LoadEntry& entry) {
           return IsName(entry.target_domain) &&
                  IsValid(entry.requests_per_s) && IsValid(entry.concurrency);
         });
}

bool IsValid(const DomainReport& report) {
  const auto is_count = [](std::size_t count) {
    return count >= 1 && static_cast<double>(count) <= kMaxInstances;
  };
  return IsName(report.domain) && is_count(report.instances) &&
         is_count(report.reporters) && report.age >= milliseconds{0} &&
         IsValid(report.mean);
}

/// The number of reporters, halved for each second of age.
double WeightOf(std::size_t reporters, milliseconds age) {
  return static_cast<double>(reporters) *
         std::exp2(-std::chrono::duration<double>(age).count());
}

void SortAndCut(LoadReport& report) {
  std::ranges::sort(report.entries, LargerLoad{});
  if (report.entries.size() > kMaxLoadEntries) {
    report.entries.resize(kMaxLoadEntries);
  }
}

/// Sums the entries of several reports. An instance that has not seen an answer
/// lately reports requests without concurrency; its requests are taken to need
/// the time that those of the others need.
class MeanLoad {
 public:
  void Add(const LoadEntry& entry) {
    Sums& sums = this->by_key[{entry.service, entry.target_domain}];
    sums.requests += entry.requests_per_s;
    if (entry.concurrency > 0) {
      sums.timed_requests += entry.requests_per_s;
      sums.concurrency += entry.concurrency;
    }
  }
  LoadReport Of(std::size_t reporters) const {
    LoadReport mean;
    for (const auto& [key, sums] : this->by_key) {
      const auto& [service, domain] = key;
      const double rate = sums.requests / static_cast<double>(reporters);
      const double time = sums.timed_requests > 0
                              ? sums.concurrency / sums.timed_requests
                              : 0.0;
      mean.entries.push_back({service, std::string(domain), rate, rate * time});
    }
    SortAndCut(mean);
    return mean;
  }

 private:
  struct Sums {
    double requests{0};
    double timed_requests{0};  ///< Of reports that state a concurrency.
    double concurrency{0};
  };
  /// Domains point into the reports.
  std::map<std::pair<ServiceKey, std::string_view>, Sums> by_key;
};

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
  this->loads.clear();
  this->unloaded = this->NoLoad(reports, now);
  this->totals = this->unloaded;
  for (const DomainReport& report : reports) {
    this->Add(report);
  }
  if (!this->own_report || !knows_others) {
    this->loads.clear();
    this->unloaded.clear();
  }
  this->NoteChanges(now);
}

void LoadBoard::OnPause(milliseconds length, milliseconds now) {
  if (!this->resume_filter.OnPause(length, now)) {
    return;
  }
  this->measured.reset();
  this->own_report.reset();
  this->relayed.clear();
  for (auto& [endpoint, sender] : this->senders) {
    sender.own.reset();
  }
  this->loads.clear();
  this->unloaded.clear();
}

const std::vector<DomainLoad>& LoadBoard::Of(const std::string& service) const {
  const auto found = this->loads.find(ServiceKeyOf(service));
  return found == this->loads.end() ? this->unloaded : found->second;
}

void LoadBoard::Expire(milliseconds now) {
  std::erase_if(this->senders, [now](const auto& sender) {
    return now - sender.second.heard_at > kMaxOwnReportAge;
  });
  std::erase_if(this->relayed, [now](const auto& kept) {
    return now - kept.second.made_at > kMaxDomainReportAge;
  });
  // Otherwise wrong names, as of a misconfigured instance, would take the
  // places of real domains until the next restart.
  std::erase_if(this->heard_at, [now](const auto& domain) {
    return now - domain.second > kForgetDomainAfter;
  });
  std::erase_if(this->was_reachable, [this](const auto& domain) {
    return !this->heard_at.contains(domain.first);
  });
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
  for (const auto& [domain, at] : this->heard_at) {
    if (now - at <= kMaxSilence && domain != this->own_domain) {
      observations.heard.push_back({domain, now - at});
    }
  }
  if (this->own_report) {
    observations.domains.push_back(this->own_report->report);
    observations.domains.back().age = now - this->own_report->made_at;
  }
  auto next = this->relayed.upper_bound(this->last_appended);
  for (std::size_t i = 0, added = 0;
       i < this->relayed.size() && added < kRelayedPerDigest; ++i, ++next) {
    if (next == this->relayed.end()) {
      next = this->relayed.begin();
    }
    const auto& [domain, kept] = *next;
    if (domain != this->own_domain &&
        now - kept.made_at <= kMaxDomainReportAge) {
      observations.domains.push_back(kept.report);
      observations.domains.back().age = now - kept.made_at;
      this->last_appended = domain;
      ++added;
    }
  }
}

void LoadBoard::OnObservations(const common::Endpoint& sender,
                               const std::string& domain,
                               const PeerObservations& observations,
                               milliseconds now) {
  if (this->resume_filter.Discards(now)) {
    return;
  }
  this->RecordHeard(domain, now);
  if (observations.unreadable) {
    ++this->invalid_reports;
  }
  if (observations.Empty() || !this->IsNewer(sender, observations.sent_at)) {
    return;
  }
  if (this->senders.size() < kMaxSenders || this->senders.contains(sender)) {
    Sender& kept = this->senders[sender];
    kept = {observations.sent_at, now, std::nullopt};
    if (observations.own && !IsValid(*observations.own)) {
      ++this->invalid_reports;
    } else if (domain == this->own_domain) {
      kept.own = observations.own;
    }
  }
  for (const DomainContact& contact : observations.heard) {
    // What others have heard of the own domain may be this instance.
    if (contact.domain != this->own_domain &&
        contact.heard_ago >= milliseconds{0}) {
      this->RecordHeard(contact.domain, now - contact.heard_ago);
    }
  }
  for (const DomainReport& report : observations.domains) {
    if (IsValid(report)) {
      this->TakeReport(report, now);
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

void LoadBoard::RecordHeard(const std::string& domain, milliseconds at) {
  const auto found = this->heard_at.find(domain);
  if (found != this->heard_at.end()) {
    found->second = std::max(found->second, at);
  } else if (IsName(domain) && this->heard_at.size() < kMaxDomains) {
    this->heard_at.emplace(domain, at);
  }
}

void LoadBoard::TakeReport(const DomainReport& report, milliseconds now) {
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

bool LoadBoard::Replaces(const KeptReport& next, const KeptReport& kept,
                         milliseconds now) const {
  if (next.report.domain == this->own_domain) {
    return WeightOf(next.report.reporters, now - next.made_at) >
           WeightOf(kept.report.reporters, now - kept.made_at);
  }
  const milliseconds newer_by = next.made_at - kept.made_at;
  if (newer_by > kSameAge || newer_by < -kSameAge) {
    return newer_by > milliseconds{0};
  }
  return std::tie(next.report.reporters, next.made_at) >
         std::tie(kept.report.reporters, kept.made_at);
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

std::optional<LoadBoard::KeptReport> LoadBoard::OwnDomainReport(
    milliseconds now) const {
  KeptReport heard{this->MeanOfHeard(), now};
  if (const auto found = this->relayed.find(this->own_domain);
      found != this->relayed.end()) {
    KeptReport passed_on = found->second;
    if (WeightOf(passed_on.report.reporters, now - passed_on.made_at) >
        static_cast<double>(heard.report.reporters)) {
      passed_on.report.instances = *this->instances;
      return passed_on;
    }
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
    DomainReport own = this->own_report->report;
    own.age = now - this->own_report->made_at;
    own.mean = this->WithBursts(own.mean);
    reports.push_back(std::move(own));
  }
  for (const auto& [domain, kept] : this->relayed) {
    if (domain != this->own_domain) {
      reports.push_back(kept.report);
      reports.back().age = now - kept.made_at;
    }
  }
  return reports;
}

bool LoadBoard::DoubtsOwnLink(milliseconds now) const {
  return std::ranges::none_of(this->heard_at, [now](const auto& domain) {
    return now - domain.second <= kMaxSilence;
  });
}

bool LoadBoard::IsReachable(const std::string& domain, milliseconds now) const {
  const auto found = this->heard_at.find(domain);
  return domain == this->own_domain ||
         (found != this->heard_at.end() &&
          now - found->second <= kMaxSilence) ||
         this->DoubtsOwnLink(now);
}

std::vector<DomainLoad> LoadBoard::NoLoad(
    const std::vector<DomainReport>& reports, milliseconds now) const {
  std::set<std::string_view> domains{this->own_domain};
  for (const auto& [domain, at] : this->heard_at) {
    domains.insert(domain);
  }
  for (const DomainReport& report : reports) {
    domains.insert(report.domain);
    for (const LoadEntry& entry : report.mean.entries) {
      if (domains.size() < 2 * kMaxDomains) {
        domains.insert(entry.target_domain);
      }
    }
  }
  std::vector<DomainLoad> loads;
  for (const std::string_view domain : domains) {
    DomainLoad& load = loads.emplace_back();
    load.domain = domain;
    load.reachable = this->IsReachable(load.domain, now);
    const auto own = std::ranges::find(reports, domain, &DomainReport::domain);
    if (own != reports.end()) {
      load.age = own->age;
      load.reporters = own->reporters;
      load.callers_requests_per_s = 0;
    }
  }
  return loads;
}

void LoadBoard::Add(const DomainReport& report) {
  const auto add_to = [&report](std::vector<DomainLoad>& loads,
                                const LoadEntry& entry) {
    const auto load =
        std::ranges::find(loads, entry.target_domain, &DomainLoad::domain);
    const auto callers = static_cast<double>(report.instances);
    load->requests_per_s += entry.requests_per_s * callers;
    load->concurrency += entry.concurrency * callers;
    const auto home =
        std::ranges::find(loads, report.domain, &DomainLoad::domain);
    *home->callers_requests_per_s += entry.requests_per_s * callers;
    return load;
  };
  for (const LoadEntry& entry : report.mean.entries) {
    const bool known_domain =
        std::ranges::find(this->unloaded, entry.target_domain,
                          &DomainLoad::domain) != this->unloaded.end();
    if (!known_domain || (this->loads.size() >= kMaxServices &&
                          !this->loads.contains(entry.service))) {
      continue;
    }
    std::vector<DomainLoad>& of_service =
        this->loads.try_emplace(entry.service, this->unloaded).first->second;
    const auto load = add_to(of_service, entry);
    if (entry.target_domain != report.domain) {
      load->age = std::max(load->age, report.age);
      load->reporters += report.reporters;
    }
    add_to(this->totals, entry);
  }
}

void LoadBoard::NoteChanges(milliseconds now) {
  if (this->DoubtsOwnLink(now)) {
    return;
  }
  for (const DomainLoad& load : this->totals) {
    if (!this->heard_at.contains(load.domain)) {
      continue;
    }
    const auto [was, added] =
        this->was_reachable.try_emplace(load.domain, load.reachable);
    if (!added &&
        std::exchange(was->second, load.reachable) != load.reachable) {
      this->changes.push_back(load);
    }
  }
}

}  // namespace sassafrasdyke::core
