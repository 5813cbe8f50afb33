#include "core/load/domain_contacts.h"

#include <algorithm>

#include "core/load/report_validation.h"

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// A domain that was not heard for longer is unreachable.
constexpr milliseconds kMaxSilence{1500};
/// A domain of which nothing has been heard for this long is forgotten.
constexpr milliseconds kForgetDomainAfter{60'000};

}  // namespace

void DomainContacts::RecordHeard(const std::string& domain, Time at) {
  const auto found = this->heard_at.find(domain);
  if (found != this->heard_at.end()) {
    found->second = std::max(found->second, at);
  } else if (IsDomainName(domain) && this->heard_at.size() < kMaxDomains) {
    this->heard_at.emplace(domain, at);
  }
}

void DomainContacts::Expire(Time now) {
  // Otherwise wrong names, as of a misconfigured instance, would take the
  // places of real domains until the next restart.
  std::erase_if(this->heard_at, [now](const auto& domain) {
    return now - domain.second > kForgetDomainAfter;
  });
  std::erase_if(this->was_reachable, [this](const auto& domain) {
    return !this->heard_at.contains(domain.first);
  });
}

bool DomainContacts::DoubtsOwnLink(Time now) const {
  return std::ranges::none_of(this->heard_at, [now](const auto& domain) {
    return now - domain.second <= kMaxSilence;
  });
}

bool DomainContacts::IsReachable(const std::string& domain, Time now) const {
  const auto found = this->heard_at.find(domain);
  return domain == this->own_domain ||
         (found != this->heard_at.end() &&
          now - found->second <= kMaxSilence) ||
         this->DoubtsOwnLink(now);
}

std::vector<DomainContact> DomainContacts::HeardLately(Time now) const {
  std::vector<DomainContact> heard;
  for (const auto& [domain, at] : this->heard_at) {
    if (now - at <= kMaxSilence && domain != this->own_domain) {
      heard.push_back({domain, now - at});
    }
  }
  return heard;
}

std::vector<DomainLoad> DomainContacts::Changes(
    const std::vector<DomainLoad>& loads, Time now) {
  std::vector<DomainLoad> changes;
  if (this->DoubtsOwnLink(now)) {
    return changes;
  }
  for (const DomainLoad& load : loads) {
    if (!this->heard_at.contains(load.domain)) {
      continue;
    }
    const auto [was, added] =
        this->was_reachable.try_emplace(load.domain, load.reachable);
    if (!added &&
        std::exchange(was->second, load.reachable) != load.reachable) {
      changes.push_back(load);
    }
  }
  return changes;
}

}  // namespace sassafrasdyke::core
