/// Selects the failure domain of a new flow.
///
/// Answers the load of callers that concentrate in one failure domain while
/// others have capacity: flows that all stay there fill its targets, which then
/// reject requests, while targets elsewhere idle.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sassafrasdyke::core {

/// A failure domain whose targets a flow may use.
struct DomainCapacity {
  std::string domain;
  double slots{0};        ///< Of its usable targets.
  double concurrency{0};  ///< Requests that are at them now, queued ones too.
  bool reachable{true};
};

/// A new flow, and what is known of the load.
struct LocalityQuery {
  std::string own_domain;
  std::vector<DomainCapacity> domains;  ///< In the order of their names.
  double draw{0};  ///< Uniform in [0, 1), the same for a retransmitted SYN.
};

/// Why the flow goes to the domain.
enum class LocalityReason : std::uint8_t {
  kOwn,     ///< The own domain has capacity, or no other has more.
  kShared,  ///< The own domain has more load than its share.
};

/// The selected domain.
struct LocalityDecision {
  std::string domain;
  LocalityReason reason{LocalityReason::kOwn};
};

/// Decides without state, so that instances with the same reports decide alike.
class LocalityPolicy {
 public:
  virtual ~LocalityPolicy() = default;

  /// `query.domains` has the own domain.
  virtual LocalityDecision Select(const LocalityQuery& query) const = 0;
};

/// Every flow stays in the own domain.
class OwnDomainLocality final : public LocalityPolicy {
 public:
  LocalityDecision Select(const LocalityQuery& query) const override {
    return {query.own_domain, LocalityReason::kOwn};
  }
};

}  // namespace sassafrasdyke::core
