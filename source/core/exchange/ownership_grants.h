/// Passes the ownership of partitions from one instance to another.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>

#include "common/ids.h"
#include "core/balancer.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// Whether a received grant changes anything.
enum class GrantNovelty {
  kNew,
  kRepeated,  ///< The last one that was accepted from this sender.
  kIgnored,   ///< An earlier one, or one that can't be accepted yet.
};

/// Sends grants until their receivers have everything, and accepts each grant
/// of another instance once. Times are monotonic.
class OwnershipGrants {
 public:
  explicit OwnershipGrants(common::Incarnation incarnation)
      : incarnation(incarnation) {}

  /// Grants the partition to `to` and replaces an earlier grant of it.
  /// `openings_known_since` is since when every SYN has been recorded, if that
  /// is known.
  void Grant(const PartitionKey& partition, common::InstanceId to,
             std::optional<std::chrono::milliseconds> openings_known_since,
             std::chrono::milliseconds now, Outbox& outbox);

  /// Stops to repeat the grant: its receiver has taken everything over, or this
  /// instance is the owner again.
  void Finish(const PartitionKey& partition);

  /// Sends the partition's unfinished grant again, if there is one.
  void Repeat(const PartitionKey& partition, std::chrono::milliseconds now,
              Outbox& outbox);

  /// The number of the unfinished grant to `to`; 0 when there is none.
  common::GrantNumber NumberFor(const PartitionKey& partition,
                                common::InstanceId to) const;

  /// Whether the acknowledgement is for this instance's present grant to
  /// `from`.
  bool IsUnfinished(common::InstanceId from,
                    const OwnershipGrantAck& ack) const {
    return ack.incarnation == this->incarnation && ack.number.value != 0 &&
           this->NumberFor(ack.partition, from) == ack.number;
  }

  /// Records the grant and tells whether it is new. A repeated one must not
  /// make this instance the owner again after it has passed the ownership on.
  GrantNovelty Accept(common::InstanceId from, const OwnershipGrant& grant);

  /// The sender of the last accepted grant has handed over everything.
  void OnHandOverEnd(const PartitionKey& partition, common::InstanceId from);

  /// Whether everything has been received that belongs to the grant.
  bool HasReceivedAll(common::InstanceId from,
                      const OwnershipGrant& grant) const;

  /// Repeats the grants that are due.
  void Flush(std::chrono::milliseconds now, Outbox& outbox);

  /// Drops what was accepted from instances that `keep` rejects.
  void Forget(const std::function<bool(common::InstanceId)>& keep);

 private:
  /// A grant whose receiver may not know of it yet.
  struct SentGrant {
    common::InstanceId to;
    common::GrantNumber number;
    std::optional<std::chrono::milliseconds> openings_known_since;
    std::chrono::milliseconds due{0};
    std::chrono::milliseconds interval{0};
  };
  struct AcceptedGrant {
    common::Incarnation incarnation;  ///< Of the sender.
    common::GrantNumber number;
    bool hand_over_ended{false};
  };
  struct Giver {
    PartitionKey partition;
    common::InstanceId id;

    // NOLINTNEXTLINE(modernize-use-nullptr): see common::Id.
    friend auto operator<=>(const Giver&, const Giver&) = default;
  };

  void Send(const PartitionKey& partition, SentGrant& grant,
            std::chrono::milliseconds now, Outbox& outbox) const;

  common::Incarnation incarnation;
  std::map<PartitionKey, SentGrant> sent;
  std::map<PartitionKey, common::GrantNumber> last_numbers;
  std::map<Giver, AcceptedGrant> accepted;
};

}  // namespace sassafrasdyke::core
