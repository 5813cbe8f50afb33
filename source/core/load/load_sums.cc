#include "core/load/load_sums.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <string_view>

#include "core/load/report_validation.h"

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// Limit of what digests can make this instance keep.
constexpr std::size_t kMaxServices = 64;

/// An entry without load for each known domain, in the order of their names.
std::vector<DomainLoad> NoLoad(const std::vector<DomainReport>& reports,
                               const std::string& own_domain,
                               const DomainContacts& contacts,
                               milliseconds now) {
  std::set<std::string_view> domains{own_domain};
  for (const auto& [domain, at] : contacts.All()) {
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
    load.reachable = contacts.IsReachable(load.domain, now);
    const auto own = std::ranges::find(reports, domain, &DomainReport::domain);
    if (own != reports.end()) {
      load.age = own->age;
      load.reporters = own->reporters;
      load.callers_requests_per_s = 0;
    }
  }
  return loads;
}

}  // namespace

void LoadSums::Compute(const std::vector<DomainReport>& reports,
                       const std::string& own_domain,
                       const DomainContacts& contacts, milliseconds now) {
  this->loads.clear();
  this->unloaded = NoLoad(reports, own_domain, contacts, now);
  this->totals = this->unloaded;
  for (const DomainReport& report : reports) {
    this->Add(report);
  }
}

void LoadSums::Forget() {
  this->loads.clear();
  this->unloaded.clear();
}

const std::vector<DomainLoad>& LoadSums::Of(const std::string& service) const {
  const auto found = this->loads.find(ServiceKeyOf(service));
  return found == this->loads.end() ? this->unloaded : found->second;
}

void LoadSums::Add(const DomainReport& report) {
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

}  // namespace sassafrasdyke::core
