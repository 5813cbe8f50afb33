/// The instances that this one knows of. Nothing lists them: they are found
/// through a few seeds, and tell each other. Being wrong about one costs a call
/// or a second, never a flow.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/address.h"
#include "core/fleet/jitter.h"
#include "core/roster/peer_digest.h"
#include "core/view/route_table.h"

namespace sassafrasdyke::core {

/// Who this instance is to its peers.
struct RosterSelf {
  common::Endpoint address;
  std::string domain;
};

/// Members that are to be told of news.
struct Followers {
  std::vector<common::Endpoint> lively;  ///< Heard of in the last seconds.
  /// The others. In a large domain an instance hears of some only now and then,
  /// though they live.
  std::vector<common::Endpoint> quiet;
};

/// Members by address. Times are monotonic.
class Roster {
 public:
  Roster(RosterSelf self, const std::vector<common::Endpoint>& seeds)
      : self(std::move(self)), seeds(seeds) {}

  void SetSeeds(const std::vector<common::Endpoint>& seeds) {
    this->seeds = seeds;
  }
  /// Takes the sender and those it mentions; true if the sender is new.
  bool OnDigest(const PeerDigest& digest, std::chrono::milliseconds now);
  /// Forgets members that nobody has heard of for long.
  void Expire(std::chrono::milliseconds now);

  /// Position of this instance among its failure domain's readers-to-be: all
  /// instances with the same members compute the same order.
  std::size_t Rank(std::chrono::milliseconds now) const;
  /// The other members of the own failure domain.
  std::vector<common::Endpoint> Neighbours() const;
  /// The first of the domain's order but this instance.
  std::vector<common::Endpoint> Readers(std::size_t readers,
                                        std::chrono::milliseconds now) const;
  /// Whom readers tell of news: the domain's members but the first `readers`.
  Followers FollowersOf(std::size_t readers,
                        std::chrono::milliseconds now) const;
  /// One member of the own failure domain and one of any, or seeds where none
  /// is known; at random, never this instance. Half of the time the first is
  /// one of the domain's `readers`, so that those who have news to tell hear
  /// of every member within seconds, however large the domain is.
  std::vector<common::Endpoint> Pick(std::size_t readers, Jitter& jitter,
                                     std::chrono::milliseconds now) const;
  /// Members for a digest to `receiver`: up to `readers` readers of its failure
  /// domain, up to `most` members of the own domain, and one of another domain.
  std::vector<PeerMention> Mention(const common::Endpoint& receiver,
                                   std::size_t readers, std::size_t most,
                                   Jitter& jitter,
                                   std::chrono::milliseconds now) const;
  /// Live members of the own failure domain, this instance included.
  std::size_t DomainSize(std::chrono::milliseconds now) const;
  std::size_t Size() const { return this->members.size(); }
  const RosterSelf& Self() const { return this->self; }
  bool IsSeed(const common::Endpoint& peer) const;
  /// The seeds but this instance.
  std::vector<common::Endpoint> Seeds() const;

 private:
  struct Member {
    std::string domain;
    std::chrono::milliseconds heard_at{0};
    bool leaving{false};
  };

  bool Hear(const common::Endpoint& peer, const std::string& domain,
            std::chrono::milliseconds at);
  static bool IsCandidate(const Member& member, const std::string& domain,
                          std::chrono::milliseconds now);
  /// Own domain's candidates and this instance, best first.
  std::vector<common::Endpoint> Order(std::chrono::milliseconds now) const;
  /// The highest-ranked known candidates of `domain`, without `receiver`.
  std::vector<PeerMention> MentionReaders(const common::Endpoint& receiver,
                                          const std::string& domain,
                                          std::size_t readers,
                                          std::chrono::milliseconds now) const;

  RosterSelf self;
  std::vector<common::Endpoint> seeds;
  std::unordered_map<common::Endpoint, Member, EndpointHash> members;
};

}  // namespace sassafrasdyke::core
