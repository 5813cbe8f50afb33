/// The bounded table of the flows an instance knows.
#pragma once

#include <tsl/robin_map.h>

#include <chrono>
#include <cstddef>
#include <functional>

#include "common/ids.h"
#include "core/flow/expiry_wheel.h"
#include "core/flow/flow_record.h"

namespace sassafrasdyke::core {

/// Idle times after which a flow is forgotten.
struct IdleLimits {
  std::chrono::milliseconds syn{};
  std::chrono::milliseconds established{};
  std::chrono::milliseconds closing{};

  std::chrono::milliseconds For(FlowState state) const;
};

/// Fingerprints are uniform already; hashing them again would only cost time.
struct FingerprintHash {
  std::size_t operator()(common::Fingerprint flow) const noexcept {
    return static_cast<std::size_t>(flow.value);
  }
};

/// Whom a record is wanted for: established flows are let into the last part of
/// the table, new ones are not.
enum class Admission { kNewFlow, kEstablishedFlow };

/// Flow records by fingerprint. Pointers into it are valid until the next call
/// that inserts or erases.
class FlowTable {
 public:
  using Records =
      tsl::robin_map<common::Fingerprint, FlowRecord, FingerprintHash>;
  using LimitsOf = std::function<IdleLimits(common::ServiceId)>;
  using Ended = std::function<void(common::Fingerprint, const FlowRecord&)>;

  /// Records it holds at most.
  void SetCapacity(std::size_t flows) { this->capacity = flows; }

  FlowRecord* Find(common::Fingerprint flow);

  /// Whether a record of the kind could be inserted now.
  bool HasRoom(Admission admission) const;

  /// Inserts `record` or replaces the flow's old one; nothing when the table is
  /// full.
  FlowRecord* Insert(common::Fingerprint flow, const FlowRecord& record,
                     Admission admission, const IdleLimits& limits);

  void Erase(common::Fingerprint flow);

  /// Schedules the next look at a flow whose state has changed.
  void Reschedule(common::Fingerprint flow, FlowRecord& record,
                  const IdleLimits& limits);

  /// Looks at no more than `most` flows that are due and erases the idle ones,
  /// each after a call of `ended`.
  void Expire(std::chrono::milliseconds now, std::size_t most,
              const LimitsOf& limits_of, const Ended& ended);

  /// Calls `visit` for every record; it must not insert or erase.
  void ForEach(
      const std::function<void(common::Fingerprint, FlowRecord&)>& visit);

  std::size_t Size() const { return this->records.size(); }

 private:
  Records records;
  ExpiryWheel wheel;
  std::size_t capacity{0};
};

}  // namespace sassafrasdyke::core
