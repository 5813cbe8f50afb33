/// The bounded table of flow records.
#pragma once

#include <tsl/robin_map.h>

#include <chrono>
#include <cstddef>
#include <functional>

#include "common/ids.h"
#include "core/flow/expiry_wheel.h"
#include "core/flow/flow_record.h"

namespace sassafrasdyke::core {

/// Idle times after which a record is erased, by the flow's state.
struct IdleLimits {
  std::chrono::milliseconds syn{};
  std::chrono::milliseconds established{};
  std::chrono::milliseconds closing{};

  std::chrono::milliseconds For(FlowState state) const;
};

/// Identity hash: fingerprints are uniformly distributed already.
struct FingerprintHash {
  std::size_t operator()(common::Fingerprint flow) const noexcept {
    return static_cast<std::size_t>(flow.value);
  }
};

/// The kind of flow to insert: only established flows may use the reserved part
/// of the table.
enum class Admission { kNewFlow, kEstablishedFlow };

/// Flow records by fingerprint. Pointers into it are valid until the next call
/// that inserts or erases.
class FlowTable {
 public:
  using Records =
      tsl::robin_map<common::Fingerprint, FlowRecord, FingerprintHash>;
  using LimitsOf = std::function<IdleLimits(common::ServiceId)>;
  using Ended = std::function<void(common::Fingerprint, const FlowRecord&)>;

  /// Sets the maximum number of records.
  void SetCapacity(std::size_t flows) { this->capacity = flows; }

  FlowRecord* Find(common::Fingerprint flow);

  /// Whether there is room for a new record of the kind.
  bool HasRoom(Admission admission) const;

  /// Inserts `record` or replaces the flow's old one; null if the table has no
  /// room.
  FlowRecord* Insert(common::Fingerprint flow, const FlowRecord& record,
                     Admission admission, const IdleLimits& limits);

  void Erase(common::Fingerprint flow);

  /// Schedules the next expiry check of a flow whose state has changed.
  void Reschedule(common::Fingerprint flow, FlowRecord& record,
                  const IdleLimits& limits);

  /// Checks at most `max_checks` flows that are due and erases the idle ones,
  /// after calling `ended` for each.
  void Expire(std::chrono::milliseconds now, std::size_t max_checks,
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
