/// Selects the failure domain of a new flow.
///
/// Answers the load of callers that concentrate in one failure domain while
/// others have capacity: flows that all stay there fill its targets, which then
/// reject requests, while targets elsewhere idle.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasdyke::core {

/// Callers and targets of one service in a failure domain.
struct DomainCapacity {
  std::string domain;
  double slots{0};  ///< Of the targets that new flows may use; 0: none.
  /// Mean number of slots that the requests of the domain's callers occupy,
  /// wherever they are placed; nothing while it isn't known. Unlike the load of
  /// the domain's targets, it doesn't depend on these decisions, which
  /// therefore don't oscillate on delayed reports.
  std::optional<double> demand;
  bool reachable{true};
};

/// Demand as a fraction of the slots: infinite without slots, 0 without demand
/// and while that isn't known.
inline double UtilizationOf(const DomainCapacity& domain) {
  const double demand = domain.demand.value_or(0);
  return demand > 0 ? demand / domain.slots : 0;
}

/// A new flow, and what is known of the load.
struct LocalityQuery {
  std::string own_domain;
  /// Those that the flow may use, in the order of their names.
  std::vector<DomainCapacity> domains;
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

  /// Whether flows may leave the own domain, so that Select must be asked. The
  /// capacity of the others need not be computed while this is false.
  virtual bool MayShare(const DomainCapacity& own) const = 0;
  /// `query.domains` has the own domain.
  virtual LocalityDecision Select(const LocalityQuery& query) const = 0;
};

/// Every flow stays in the own domain.
class OwnDomainLocality final : public LocalityPolicy {
 public:
  bool MayShare(const DomainCapacity& /*own*/) const override { return false; }
  LocalityDecision Select(const LocalityQuery& query) const override {
    return {query.own_domain, LocalityReason::kOwn};
  }
};

}  // namespace sassafrasdyke::core
