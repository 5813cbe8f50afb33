/// The fleet's membership as seen by one instance. There is no authoritative
/// list: members are discovered through a few seeds and by gossip. A wrong
/// entry costs a call or a delay of a second, never a flow.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/address.h"
#include "core/fleet/jitter.h"
#include "core/roster/peer_digest.h"
#include "core/view/route_table.h"

namespace sassafrasdyke::core {

/// How peers identify this instance.
struct RosterSelf {
  common::Endpoint address;
  std::string domain;
};

/// Members to notify of changes.
struct Followers {
  std::vector<common::Endpoint> recent;  ///< Heard of in the last seconds.
  /// The others. In a large domain an instance hears of some live members only
  /// rarely.
  std::vector<common::Endpoint> silent;
};

/// Members by address. Times are monotonic.
class Roster {
 public:
  Roster(RosterSelf self, const std::vector<common::Endpoint>& seeds)
      : self(std::move(self)), seeds(seeds) {}

  void SetSeeds(const std::vector<common::Endpoint>& seeds) {
    this->seeds = seeds;
  }
  /// Records the sender and the members it mentions. Returns true if the sender
  /// is new.
  bool OnDigest(const PeerDigest& digest, std::chrono::milliseconds now);
  /// Removes members of which nothing has been heard for long.
  void Expire(std::chrono::milliseconds now);

  /// Position of this instance in the ranking of its failure domain; the first
  /// ones are the readers. Instances that know the same members compute the
  /// same ranking.
  std::size_t Rank(std::chrono::milliseconds now) const;
  /// The other members of the own failure domain.
  std::vector<common::Endpoint> Neighbours() const;
  /// The first `readers` members of the domain's ranking, without this
  /// instance.
  std::vector<common::Endpoint> Readers(std::size_t readers,
                                        std::chrono::milliseconds now) const;
  /// The members that readers notify: all of the domain except the first
  /// `readers` of the ranking.
  Followers FollowersOf(std::size_t readers,
                        std::chrono::milliseconds now) const;
  /// Receivers of the next digests, at random: one member of the own failure
  /// domain and one of any domain, which may also be a seed; never this
  /// instance. One of `reader_interval` times the first is one of the domain's
  /// `readers`, so that those who notify the others hear of every member within
  /// seconds, however large the domain is.
  std::vector<common::Endpoint> PickReceivers(
      std::size_t readers, std::uint64_t reader_interval, Jitter& jitter,
      std::chrono::milliseconds now) const;
  /// Selects the members to mention in a digest to `receiver`: up to `readers`
  /// readers of its failure domain, up to `max_neighbours` members of the own
  /// domain, and one of another domain.
  std::vector<PeerMention> SelectMentions(const common::Endpoint& receiver,
                                          std::size_t readers,
                                          std::size_t max_neighbours,
                                          Jitter& jitter,
                                          std::chrono::milliseconds now) const;
  /// Live members of the own failure domain, this instance included.
  std::size_t DomainSize(std::chrono::milliseconds now) const;
  /// Members of the own failure domain that share its callers, this instance
  /// included. Unlike `DomainSize`, which serves to replace dead readers soon,
  /// it hardly leaves out a live member, and counts a dead one for longer.
  std::size_t DomainMembers(std::chrono::milliseconds now) const;
  std::size_t Size() const { return this->members.size(); }
  /// The number of instances in the fleet, this one included. Of a large fleet
  /// an instance knows its own domain, and about half of the others; so the
  /// other domains are taken to be as large as the own one. Summed over all
  /// instances, the parts `1 / EstimatedFleetSize()` are about 1, however
  /// different the domains are.
  std::size_t EstimatedFleetSize() const;
  const RosterSelf& Self() const { return this->self; }
  bool IsSeed(const common::Endpoint& peer) const;
  /// The seeds without this instance.
  std::vector<common::Endpoint> Seeds() const;

 private:
  struct Member {
    std::string domain;
    std::chrono::milliseconds heard_at{0};
    bool leaving{false};
  };

  /// Adds a member, or updates the time when it was last heard of. Returns true
  /// if it was added.
  bool RecordMember(const common::Endpoint& peer, const std::string& domain,
                    std::chrono::milliseconds at);
  /// Whether a member of `domain` counts in the ranking.
  static bool IsCandidate(const Member& member, const std::string& domain,
                          std::chrono::milliseconds now);
  /// The own domain's candidates and this instance, highest rank first.
  std::vector<common::Endpoint> RankedCandidates(
      std::chrono::milliseconds now) const;
  /// The highest-ranked known candidates of `domain`, without `receiver`.
  std::vector<PeerMention> SelectReaderMentions(
      const common::Endpoint& receiver, const std::string& domain,
      std::size_t readers, std::chrono::milliseconds now) const;

  RosterSelf self;
  std::vector<common::Endpoint> seeds;
  std::unordered_map<common::Endpoint, Member, EndpointHash> members;
};

}  // namespace sassafrasdyke::core
