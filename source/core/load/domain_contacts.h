/// When each failure domain was last heard, and whether it is reachable.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/load/fleet_load.h"
#include "core/load/observation_exchange.h"

namespace sassafrasdyke::core {

/// Times are monotonic.
class DomainContacts {
 public:
  using Time = std::chrono::milliseconds;

  explicit DomainContacts(std::string own_domain)
      : own_domain(std::move(own_domain)) {}

  /// Another instance of the domain was heard at `at`, directly or through
  /// others.
  void RecordHeard(const std::string& domain, Time at);
  /// Forgets domains of which nothing has been heard for a minute.
  void Expire(Time now);

  /// Whether no other instance was heard lately, so that the own link may be
  /// cut.
  bool DoubtsOwnLink(Time now) const;
  bool IsReachable(const std::string& domain, Time now) const;
  /// The other domains that were heard lately, for a digest.
  std::vector<DomainContact> HeardLately(Time now) const;
  /// By name, when each was last heard.
  const std::map<std::string, Time>& All() const { return this->heard_at; }

  /// The entries whose reachability differs from that at the last call; none
  /// while the own link is in doubt.
  std::vector<DomainLoad> Changes(const std::vector<DomainLoad>& loads,
                                  Time now);

 private:
  const std::string own_domain;
  std::map<std::string, Time> heard_at;
  /// Whether each of these domains was reachable at the last tick.
  std::map<std::string, bool> was_reachable;
};

}  // namespace sassafrasdyke::core
