/// Common part of the policies by which the load that a failure domain can't
/// keep spills over to others.
#pragma once

#include "core/steering/locality_policy.h"

namespace sassafrasdyke::core {

/// Computes for each domain the part of its callers' demand that spills over,
/// and for each other domain the part that it accepts. New flows follow these
/// parts in probability.
///
/// All values come from the callers' demand, which the decisions don't change.
/// A probability computed from the utilization of the targets would be wrong as
/// soon as it is applied: with reports that are a second old, all flows would
/// leave and return in turns.
///
/// All flows of a domain without slots have to leave. While its demand, divided
/// equally, leaves every other domain below `leave_at`, no domain is selected
/// for them.
class SpilloverLocality : public LocalityPolicy {
 public:
  /// `leave_at`: the utilization at which spillover begins.
  explicit SpilloverLocality(double leave_at) : leave_at(leave_at) {}

  bool MayShare(const DomainCapacity& own) const final;
  LocalityDecision Select(const LocalityQuery& query) const final;

 protected:
  double LeaveAt() const { return this->leave_at; }

 private:
  /// Fraction of the demand that a domain keeps whose callers use more of its
  /// slots than `leave_at`. `fleet`: the utilization of all domains together.
  virtual double KeptFraction(double utilization, double fleet) const = 0;
  /// Utilization up to which a domain accepts load of others.
  virtual double AcceptsUpTo(double fleet) const = 0;

  /// Whether some domain exceeds `leave_at` when the demand that spills over is
  /// divided equally among the slots.
  bool Crowded(const LocalityQuery& query, double fleet) const;
  /// Demand of the domain's callers that spills over.
  double ExcessOf(const DomainCapacity& domain, double fleet) const;
  /// Load of callers of `from` that `to` accepts.
  double SpareOf(const DomainCapacity& to, const DomainCapacity& from,
                 double fleet) const;

  const double leave_at;
};

}  // namespace sassafrasdyke::core
