#include "core/roster/roster.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "common/hash.h"

namespace sassafrasdyke::core {
namespace {

/// A member that hasn't been heard of for this long can't be a reader. Members
/// send a digest every second, so this is five lost digests.
constexpr std::chrono::milliseconds kCandidateTimeout{5000};
/// A member that hasn't been heard of for this long doesn't count in the size
/// of its domain. With ten digests a second and 116 members, nearly all are
/// heard of within it.
constexpr std::chrono::milliseconds kCountedTimeout{10'000};
/// A member that hasn't been heard of for this long is removed. Longer than a
/// restart takes, so that a restarted instance still receives digests.
constexpr std::chrono::milliseconds kMemberTimeout{20'000};
/// Upper bound of known members: twice the size of the largest supported fleet.
constexpr std::size_t kMaxMembers = 2048;

constexpr std::uint64_t kRankSalt = 0x72616E6BULL;

std::uint64_t ScoreOf(const common::Endpoint& peer) {
  return common::HashNumbers(EndpointHash{}(peer), 0, kRankSalt);
}

template <typename Value>
const Value* RandomElement(const std::vector<Value>& values, Jitter& jitter) {
  return values.empty() ? nullptr : &values[jitter.Below(values.size())];
}

}  // namespace

bool Roster::OnDigest(const PeerDigest& digest, std::chrono::milliseconds now) {
  for (const PeerMention& mention : digest.known) {
    this->RecordMember(mention.peer, mention.domain, now - mention.heard_ago);
  }
  const bool added = this->RecordMember(digest.sender, digest.domain, now);
  if (const auto found = this->members.find(digest.sender);
      found != this->members.end()) {
    found->second.leaving = digest.leaving;
  }
  return added;
}

bool Roster::RecordMember(const common::Endpoint& peer,
                          const std::string& domain,
                          std::chrono::milliseconds at) {
  const auto found = this->members.find(peer);
  if (found != this->members.end()) {
    found->second.heard_at = std::max(found->second.heard_at, at);
    return false;
  }
  if (peer == this->self.address || this->members.size() >= kMaxMembers) {
    return false;
  }
  this->members.emplace(peer, Member{domain, at, false});
  return true;
}

void Roster::Expire(std::chrono::milliseconds now) {
  std::erase_if(this->members, [now](const auto& member) {
    return now - member.second.heard_at > kMemberTimeout;
  });
}

bool Roster::IsCandidate(const Member& member, const std::string& domain,
                         std::chrono::milliseconds now) {
  return member.domain == domain && !member.leaving &&
         now - member.heard_at <= kCandidateTimeout;
}

std::vector<common::Endpoint> Roster::RankedCandidates(
    std::chrono::milliseconds now) const {
  std::vector<common::Endpoint> ranking{this->self.address};
  for (const auto& [peer, member] : this->members) {
    if (IsCandidate(member, this->self.domain, now)) {
      ranking.push_back(peer);
    }
  }
  std::ranges::sort(ranking, std::ranges::greater{}, ScoreOf);
  return ranking;
}

std::size_t Roster::Rank(std::chrono::milliseconds now) const {
  const std::uint64_t own = ScoreOf(this->self.address);
  return static_cast<std::size_t>(std::ranges::count_if(
      this->members, [this, own, now](const auto& member) {
        return IsCandidate(member.second, this->self.domain, now) &&
               ScoreOf(member.first) > own;
      }));
}

std::size_t Roster::DomainSize(std::chrono::milliseconds now) const {
  const auto others =
      std::ranges::count_if(this->members, [this, now](const auto& member) {
        return IsCandidate(member.second, this->self.domain, now);
      });
  return static_cast<std::size_t>(others) + 1;
}

std::size_t Roster::DomainMembers(std::chrono::milliseconds now) const {
  const auto others =
      std::ranges::count_if(this->members, [this, now](const auto& entry) {
        const Member& member = entry.second;
        return member.domain == this->self.domain && !member.leaving &&
               now - member.heard_at <= kCountedTimeout;
      });
  return static_cast<std::size_t>(others) + 1;
}

std::vector<common::Endpoint> Roster::Neighbours() const {
  std::vector<common::Endpoint> neighbours;
  for (const auto& [peer, member] : this->members) {
    if (member.domain == this->self.domain) {
      neighbours.push_back(peer);
    }
  }
  return neighbours;
}

std::size_t Roster::EstimatedFleetSize() const {
  std::set<std::string_view> domains{this->self.domain};
  std::size_t own = 1;
  for (const auto& [peer, member] : this->members) {
    domains.insert(member.domain);
    own += member.domain == this->self.domain ? 1 : 0;
  }
  return std::max(this->members.size() + 1, own * domains.size());
}

Followers Roster::FollowersOf(std::size_t readers,
                              std::chrono::milliseconds now) const {
  Followers followers;
  followers.recent = this->RankedCandidates(now);
  const auto first =
      static_cast<std::ptrdiff_t>(std::min(readers, followers.recent.size()));
  followers.recent.erase(followers.recent.begin(),
                         followers.recent.begin() + first);
  std::erase(followers.recent, this->self.address);
  for (const auto& [peer, member] : this->members) {
    const bool near = member.domain == this->self.domain && !member.leaving;
    if (near && !IsCandidate(member, this->self.domain, now)) {
      followers.silent.push_back(peer);
    }
  }
  return followers;
}

bool Roster::IsSeed(const common::Endpoint& peer) const {
  return std::ranges::find(this->seeds, peer) != this->seeds.end();
}

std::vector<common::Endpoint> Roster::Seeds() const {
  std::vector<common::Endpoint> others = this->seeds;
  std::erase(others, this->self.address);
  return others;
}

std::vector<common::Endpoint> Roster::Readers(
    std::size_t readers, std::chrono::milliseconds now) const {
  std::vector<common::Endpoint> ranking = this->RankedCandidates(now);
  ranking.resize(std::min(readers, ranking.size()));
  std::erase(ranking, this->self.address);
  return ranking;
}

std::vector<common::Endpoint> Roster::PickReceivers(
    std::size_t readers, std::uint64_t reader_interval, Jitter& jitter,
    std::chrono::milliseconds now) const {
  std::vector<common::Endpoint> others = this->Seeds();
  for (const auto& [peer, member] : this->members) {
    others.push_back(peer);
  }
  std::vector<common::Endpoint> near = jitter.Below(reader_interval) == 0
                                           ? this->Readers(readers, now)
                                           : this->Neighbours();
  std::vector<common::Endpoint> picked;
  if (const auto* neighbour = RandomElement(near, jitter);
      neighbour != nullptr) {
    picked.push_back(*neighbour);
  }
  if (const auto* any = RandomElement(others, jitter);
      any != nullptr && (picked.empty() || picked.front() != *any)) {
    picked.push_back(*any);
  }
  return picked;
}

std::vector<PeerMention> Roster::SelectReaderMentions(
    const common::Endpoint& receiver, const std::string& domain,
    std::size_t readers, std::chrono::milliseconds now) const {
  std::vector<PeerMention> mentions;
  for (const auto& [peer, member] : this->members) {
    if (peer != receiver && IsCandidate(member, domain, now)) {
      mentions.push_back({peer, member.domain, now - member.heard_at});
    }
  }
  const std::size_t count = std::min(readers, mentions.size());
  std::ranges::partial_sort(
      mentions, mentions.begin() + static_cast<std::ptrdiff_t>(count),
      std::ranges::greater{},
      [](const PeerMention& mention) { return ScoreOf(mention.peer); });
  mentions.resize(count);
  return mentions;
}

std::vector<PeerMention> Roster::SelectMentions(
    const common::Endpoint& receiver, std::size_t readers,
    std::size_t max_neighbours, Jitter& jitter,
    std::chrono::milliseconds now) const {
  const auto known = this->members.find(receiver);
  const std::string& domain =
      known == this->members.end() ? this->self.domain : known->second.domain;
  std::vector<PeerMention> mentions =
      this->SelectReaderMentions(receiver, domain, readers, now);
  std::vector<PeerMention> near;
  std::vector<PeerMention> far;
  for (const auto& [peer, member] : this->members) {
    if (!member.leaving) {
      auto& others = member.domain == this->self.domain ? near : far;
      others.push_back({peer, member.domain, now - member.heard_at});
    }
  }
  const std::size_t count = std::min(max_neighbours, near.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(near[i], near[i + jitter.Below(near.size() - i)]);
    mentions.push_back(std::move(near[i]));
  }
  if (const auto* other = RandomElement(far, jitter); other != nullptr) {
    mentions.push_back(*other);
  }
  return mentions;
}

}  // namespace sassafrasdyke::core
