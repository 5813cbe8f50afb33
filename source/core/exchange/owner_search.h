/// Finds the owner of a partition for the instance that should own it.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "core/balancer.h"
#include "core/flow/local_state.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// A view that designates this instance as the owner doesn't make it the owner:
/// another may still decide, by another view. The search asks the designated
/// owner before this one and the next ones of the rendezvous order. Those that
/// have passed the ownership on name the receiver, so the search ends at the
/// owner, which grants the ownership once its own view agrees. Only if none of
/// them has ever been the owner, or nobody has heard of one for a lease, there
/// is no owner. Times are monotonic.
class OwnerSearch {
 public:
  /// `local` must outlive it.
  OwnerSearch(common::InstanceId self, const LocalState& local)
      : self(self), local(local) {}

  /// Starts to search at the instance to which this one has granted the
  /// ownership: only that one, and those that it names, can tell the owner.
  /// Does nothing more if it is asked already.
  void StartAtReceiver(PartitionIndex partition, common::InstanceId receiver,
                       std::chrono::milliseconds now, Outbox& outbox);

  /// Starts to search at the likely owners that this instance has heard of and
  /// the first ones of the rendezvous order, or adds them to a running search.
  void StartAtLikelyOwners(PartitionIndex partition,
                           std::chrono::milliseconds now, Outbox& outbox);

  void Stop(const PartitionKey& partition) { this->searches.erase(partition); }

  /// The owner as far as the search knows, or the instance most likely to know
  /// it; 0 if there is none, or no search.
  common::InstanceId LikelyOwner(const PartitionKey& partition,
                                 std::chrono::milliseconds now) const;

  /// Handles an answer and asks the instance that it names. Returns whether the
  /// partition has no owner. An answer that names this instance leads nowhere.
  bool OnReply(common::InstanceId from, const OwnerReply& reply,
               std::chrono::milliseconds now, Outbox& outbox);

  /// Repeats the requests that are due. Returns the partitions that have no
  /// owner.
  std::vector<PartitionKey> OnTick(std::chrono::milliseconds now,
                                   Outbox& outbox);

 private:
  struct Candidate {
    common::InstanceId id;
    /// When it has last answered that it knows of no owner; empty if it has
    /// not, or since another has named one.
    std::optional<std::chrono::milliseconds> no_owner_at;
  };
  struct Search {
    std::vector<Candidate> candidates;
    common::InstanceId owner;  ///< 0 until an answer names it.
    std::chrono::milliseconds due{0};
    /// Instances of the home domain that were asked.
    std::size_t asked_in_home{0};
    /// An answer told of an earlier view, so not only new instances were asked.
    bool knows_history{false};
    int referrals{0};  ///< Followed since the last repetition.
    /// When an owner has last answered; at first the start of the search.
    std::chrono::milliseconds owner_heard_at{0};
  };

  /// The instances that were probably designated by a recent view, the most
  /// likely ones first.
  std::vector<common::InstanceId> LikelyCandidates(PartitionIndex partition,
                                                   std::size_t in_home) const;
  /// Asks more of the rendezvous order if all that have answered are new
  /// themselves. Returns whether there are more.
  bool Extend(const PartitionKey& partition, Search& search,
              std::chrono::milliseconds now, Outbox& outbox) const;
  void Start(PartitionIndex partition,
             const std::vector<common::InstanceId>& candidates,
             std::chrono::milliseconds now, Outbox& outbox);
  void AddCandidate(Search& search, common::InstanceId id) const;
  void OnNoOwner(common::InstanceId from, const OwnerReply& reply,
                 Search& search, std::chrono::milliseconds now,
                 Outbox& outbox) const;
  void Ask(const PartitionKey& partition, Search& search,
           std::chrono::milliseconds now, Outbox& outbox) const;
  /// Whether every candidate has lately answered that it knows of no owner.
  bool IsExhausted(const Search& search, std::chrono::milliseconds now) const;
  /// Whether the candidate has still to be asked.
  bool IsOpen(const Candidate& candidate, std::chrono::milliseconds now) const;
  bool MayAnswer(common::InstanceId id) const;

  common::InstanceId self;
  const LocalState& local;
  std::map<PartitionKey, Search> searches;
};

}  // namespace sassafrasdyke::core
