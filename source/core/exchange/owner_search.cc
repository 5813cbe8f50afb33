#include "core/exchange/owner_search.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

/// The first ones of the home domain. One of them has been designated lately,
/// unless as many have joined within the time of a view's spread.
constexpr std::size_t kHomeCandidates = 4;
/// More are asked as long as only instances that are new themselves answer.
constexpr std::size_t kMaxHomeCandidates = 16;
/// Domains that were or would be the home by a slightly different
/// configuration.
constexpr std::size_t kOtherDomains = 2;
constexpr std::chrono::milliseconds kRepeatInterval{100};
/// Within this time all candidates must answer that they know of no owner. An
/// older answer may be from before the ownership reached its sender.
constexpr std::chrono::milliseconds kAnswerLifetime{1000};
/// Answers that are followed at once until the request is repeated: those of
/// instances that know different owners may lead in a circle.
constexpr int kMaxReferrals = 8;
/// The owner grants the ownership of its own accord; it is asked only in case
/// that it doesn't know who should be the owner.
constexpr std::chrono::milliseconds kOwnerRepeatInterval{500};

}  // namespace

void OwnerSearch::StartAtReceiver(PartitionIndex partition,
                                  common::InstanceId receiver,
                                  std::chrono::milliseconds now,
                                  Outbox& outbox) {
  this->Start(partition, {receiver}, now, outbox);
}

void OwnerSearch::StartAtLikelyOwners(PartitionIndex partition,
                                      std::chrono::milliseconds now,
                                      Outbox& outbox) {
  std::vector<common::InstanceId> candidates =
      this->local.StateOf(partition).likely_owners;
  const std::vector<common::InstanceId> ranked =
      this->LikelyCandidates(partition, kHomeCandidates);
  candidates.insert(candidates.end(), ranked.begin(), ranked.end());
  this->Start(partition, candidates, now, outbox);
}

bool OwnerSearch::Extend(const PartitionKey& partition, Search& search,
                         std::chrono::milliseconds now, Outbox& outbox) const {
  const auto index = this->local.Directory().Find(partition);
  if (!index || search.knows_history ||
      search.asked_in_home >= kMaxHomeCandidates) {
    return false;
  }
  search.asked_in_home += kHomeCandidates;
  const std::size_t before = search.candidates.size();
  for (const common::InstanceId id :
       this->LikelyCandidates(*index, search.asked_in_home)) {
    this->AddCandidate(search, id);
  }
  if (search.candidates.size() == before) {
    return false;
  }
  this->Ask(partition, search, now, outbox);
  return true;
}

void OwnerSearch::Start(PartitionIndex partition,
                        const std::vector<common::InstanceId>& candidates,
                        std::chrono::milliseconds now, Outbox& outbox) {
  const PartitionKey& key = this->local.Directory().KeyOf(partition);
  const auto [entry, added] = this->searches.try_emplace(key);
  Search& search = entry->second;
  if (added) {
    search.owner_heard_at = now;
    search.asked_in_home = kHomeCandidates;
  }
  const std::size_t before = search.candidates.size();
  for (const common::InstanceId id : candidates) {
    this->AddCandidate(search, id);
  }
  if (search.candidates.size() > before) {
    this->Ask(key, search, now, outbox);
  }
}

bool OwnerSearch::MayAnswer(common::InstanceId id) const {
  return id.value != 0 && id != this->self &&
         this->local.Owners().IsAnswering(id);
}

std::vector<common::InstanceId> OwnerSearch::LikelyCandidates(
    PartitionIndex partition, std::size_t in_home) const {
  const PartitionSubset targets = this->local.Subsets().At(partition);
  const std::uint64_t hash = this->local.Subsets().HashOf(partition);
  const OwnerMap& owners = this->local.Owners();
  std::vector<common::InstanceId> ids =
      owners.Ranked(hash, targets.home, in_home);
  for (std::size_t i = 0;
       i < std::min(targets.substitutes.size(), kOtherDomains); ++i) {
    for (const common::InstanceId id :
         owners.Ranked(hash, targets.substitutes[i], 1)) {
      ids.push_back(id);
    }
  }
  return ids;
}

void OwnerSearch::AddCandidate(Search& search, common::InstanceId id) const {
  const bool known = std::any_of(
      search.candidates.begin(), search.candidates.end(),
      [id](const Candidate& candidate) { return candidate.id == id; });
  if (!known && this->MayAnswer(id)) {
    Candidate candidate;
    candidate.id = id;
    search.candidates.push_back(candidate);
  }
}

bool OwnerSearch::IsOpen(const Candidate& candidate,
                         std::chrono::milliseconds now) const {
  const bool has_answered =
      candidate.no_owner_at && now - *candidate.no_owner_at < kAnswerLifetime;
  return !has_answered && this->MayAnswer(candidate.id);
}

bool OwnerSearch::IsExhausted(const Search& search,
                              std::chrono::milliseconds now) const {
  return !this->MayAnswer(search.owner) &&
         std::none_of(search.candidates.begin(), search.candidates.end(),
                      [this, now](const Candidate& candidate) {
                        return this->IsOpen(candidate, now);
                      });
}

common::InstanceId OwnerSearch::LikelyOwner(
    const PartitionKey& partition, std::chrono::milliseconds now) const {
  const auto found = this->searches.find(partition);
  if (found == this->searches.end()) {
    return {};
  }
  const Search& search = found->second;
  if (this->MayAnswer(search.owner)) {
    return search.owner;
  }
  const auto candidate =
      std::find_if(search.candidates.begin(), search.candidates.end(),
                   [this, now](const Candidate& candidate) {
                     return this->IsOpen(candidate, now);
                   });
  return candidate == search.candidates.end() ? common::InstanceId{}
                                              : candidate->id;
}

void OwnerSearch::Ask(const PartitionKey& partition, Search& search,
                      std::chrono::milliseconds now, Outbox& outbox) const {
  search.due = now + kRepeatInterval;
  if (this->MayAnswer(search.owner)) {
    outbox.messages.push_back({search.owner, OwnerRequest{partition}});
    return;
  }
  for (const Candidate& candidate : search.candidates) {
    if (this->IsOpen(candidate, now)) {
      outbox.messages.push_back({candidate.id, OwnerRequest{partition}});
    }
  }
}

bool OwnerSearch::OnReply(common::InstanceId from, const OwnerReply& reply,
                          std::chrono::milliseconds now, Outbox& outbox) {
  const auto found = this->searches.find(reply.partition);
  const auto partition = this->local.Directory().Find(reply.partition);
  if (found == this->searches.end() || !partition) {
    return false;
  }
  Search& search = found->second;
  if (reply.knowledge == OwnerKnowledge::kSelf ||
      reply.knowledge == OwnerKnowledge::kGranted) {
    // The ownership may have passed to one that has answered already.
    for (Candidate& candidate : search.candidates) {
      candidate.no_owner_at.reset();
    }
  }
  if (reply.knowledge == OwnerKnowledge::kSelf) {
    search.owner = from;
    search.owner_heard_at = now;
    search.due = now + kOwnerRepeatInterval;
    return false;
  }
  if (reply.knowledge == OwnerKnowledge::kNone ||
      reply.knowledge == OwnerKnowledge::kLost) {
    this->OnNoOwner(from, reply, search, now, outbox);
    return this->IsExhausted(search, now) &&
           !this->Extend(reply.partition, search, now, outbox);
  }
  if (search.owner == from && reply.owner == this->self) {
    search.owner = {};
  }
  if (reply.owner != search.owner && this->MayAnswer(reply.owner)) {
    search.owner = reply.owner;
    if (++search.referrals <= kMaxReferrals) {
      this->Ask(reply.partition, search, now, outbox);
    }
  }
  return false;
}

void OwnerSearch::OnNoOwner(common::InstanceId from, const OwnerReply& reply,
                            Search& search, std::chrono::milliseconds now,
                            Outbox& outbox) const {
  if (search.owner == from) {
    search.owner = {};
  }
  search.knows_history = search.knows_history || !reply.likely_owners.empty();
  // An instance that isn't in the view yet may be the owner.
  const auto is_unknown = [this](common::InstanceId id) {
    return id.value != 0 && this->local.Owners().Find(id) == nullptr;
  };
  const bool names_unknown = is_unknown(reply.owner) ||
                             std::any_of(reply.likely_owners.begin(),
                                         reply.likely_owners.end(), is_unknown);
  for (Candidate& candidate : search.candidates) {
    if (candidate.id == from && !names_unknown) {
      candidate.no_owner_at = now;
    }
  }
  const std::size_t before = search.candidates.size();
  this->AddCandidate(search, reply.owner);
  for (const common::InstanceId id : reply.likely_owners) {
    this->AddCandidate(search, id);
  }
  if (search.candidates.size() > before) {
    this->Ask(reply.partition, search, now, outbox);
  }
}

std::vector<PartitionKey> OwnerSearch::OnTick(std::chrono::milliseconds now,
                                              Outbox& outbox) {
  std::vector<PartitionKey> without_owner;
  const std::chrono::milliseconds lease =
      this->local.CurrentConfiguration().policy.lease;
  for (auto& [key, search] : this->searches) {
    if (now < search.due) {
      continue;
    }
    const auto partition = this->local.Directory().Find(key);
    if (!partition || now - search.owner_heard_at >= lease ||
        (this->IsExhausted(search, now) &&
         !this->Extend(key, search, now, outbox))) {
      without_owner.push_back(key);
      continue;
    }
    search.referrals = 0;
    this->Ask(key, search, now, outbox);
  }
  return without_owner;
}

}  // namespace sassafrasdyke::core
