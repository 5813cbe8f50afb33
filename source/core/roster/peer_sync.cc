#include "core/roster/peer_sync.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <utility>

#include "core/roster/delta_parts.h"

namespace sassafrasdyke::core {
namespace {

/// Members that a digest mentions: with two digests a second each, a domain of
/// 116 hears of every member within some six seconds.
constexpr std::size_t kMentions = 6;
/// Members that a reader tells itself. Beyond, a relay that dies leaves some
/// without its news until the other reader's arrives; 32 digests are 7 kB.
constexpr std::size_t kToldDirectly = 32;
/// Members that one relay may be asked to tell; more than any domain needs, and
/// few enough that a forged digest makes nobody send much.
constexpr std::size_t kMostPassedOn = 32;

void Append(SyncActions& actions, SyncActions more) {
  std::ranges::move(more.digests, std::back_inserter(actions.digests));
}

}  // namespace

ViewMark PeerSync::Mark(std::chrono::milliseconds now) const {
  const StoreContact& contact = this->view.Contact();
  ViewMark mark{this->view.Items().Complete(), contact.Age(now), std::nullopt};
  if (const auto returned = contact.ReturnedAt()) {
    mark.store_returned_ago = now - *returned;
  }
  return mark;
}

PeerDigest PeerSync::MakeDigest(const common::Endpoint& receiver,
                                std::chrono::milliseconds now) {
  PeerDigest digest;
  digest.sender = this->roster.Self().address;
  digest.domain = this->roster.Self().domain;
  digest.leaving = this->leaving;
  digest.view = this->Mark(now);
  digest.known = this->roster.Mention(receiver, this->limits.readers, kMentions,
                                      this->jitter, now);
  return digest;
}

DigestOut PeerSync::MakeQuestion(const common::Endpoint& receiver,
                                 std::chrono::milliseconds now) {
  DigestOut question{receiver, this->MakeDigest(receiver, now)};
  question.digest.wants_answer = true;
  return question;
}

bool PeerSync::IsReader(std::chrono::milliseconds now) const {
  return !this->leaving && this->roster.Rank(now) < this->limits.readers;
}

ReadingRole PeerSync::Role(std::chrono::milliseconds now) const {
  return {this->IsSeed(), this->IsReader(now)};
}

StoreReading PeerSync::Reading(std::chrono::milliseconds now) const {
  if (this->view.Usable()) {
    return this->plan.ReadingWithView(this->Role(now),
                                      this->view.Contact().Age(now), now);
  }
  return this->pull.PendingForLessThan(this->limits.copy_timeout, now)
             ? StoreReading::kNone
             : this->plan.ReadingWithoutView(this->Role(now), now);
}

bool PeerSync::IsSeed() const {
  return this->roster.IsSeed(this->roster.Self().address);
}

void PeerSync::OnStoreFailure(std::chrono::milliseconds now) {
  this->plan.OnFailure(this->roster.DomainSize(now), now);
}

SyncActions PeerSync::OnPullFailed(
    const std::optional<common::Endpoint>& instead) {
  SyncActions actions;
  actions.pull = this->pull.OnFailed(instead);
  this->ClearOwedUnlessPulling();
  return actions;
}

SyncActions PeerSync::OnPullRefused(
    const std::optional<common::Endpoint>& instead) {
  SyncActions actions;
  actions.pull = this->pull.OnRefused(instead);
  this->ClearOwedUnlessPulling();
  return actions;
}

void PeerSync::ClearOwedUnlessPulling() {
  // What was to be passed on isn't here. Its receivers hear of it from others
  // or ask when their views get old.
  if (!this->pull.Pending()) {
    this->owed.clear();
  }
}

bool PeerSync::NeedsPeers(std::chrono::milliseconds now) const {
  if (now < this->limits.patience) {
    return false;
  }
  const auto age = this->view.Contact().Age(now);
  const bool store_fails =
      this->ShouldRead(now) && !this->view.Contact().Answers();
  return !age || *age > this->limits.ask_after || store_fails;
}

SyncActions PeerSync::OnStart(std::chrono::milliseconds now) {
  return this->AskSeeds(now);
}

SyncActions PeerSync::AskSeeds(std::chrono::milliseconds now) {
  SyncActions actions;
  for (const common::Endpoint& seed : this->roster.Seeds()) {
    actions.digests.push_back(this->MakeQuestion(seed, now));
  }
  return actions;
}

SyncActions PeerSync::AskReaders(std::chrono::milliseconds now) {
  // Bounds the questions while new members change who the readers are.
  constexpr std::size_t kMostAsked = 16;
  SyncActions actions;
  for (const common::Endpoint& reader :
       this->roster.Readers(this->limits.readers, now)) {
    const bool asked = std::ranges::find(this->asked_readers, reader) !=
                       this->asked_readers.end();
    if (!asked && this->asked_readers.size() < kMostAsked) {
      this->asked_readers.push_back(reader);
      actions.digests.push_back(this->MakeQuestion(reader, now));
    }
  }
  return actions;
}

SyncActions PeerSync::OnTick(std::chrono::milliseconds now) {
  this->roster.Expire(now);
  this->plan.OnTick(this->view.Contact().Age(now), this->roster.DomainSize(now),
                    now);
  const bool asks = this->NeedsPeers(now);
  std::chrono::milliseconds& last = asks ? this->asked_at : this->greeted_at;
  std::chrono::milliseconds pause =
      asks ? this->limits.ask_every : this->limits.greet_every;
  if (!this->view.Usable()) {
    pause = this->limits.ask_without_view_every;
  }
  SyncActions actions;
  actions.pull = this->pull.Retry(this->view.Items().Complete());
  if (!this->plan.HasHeardPeers() && !this->view.Usable()) {
    // Seeds that weren't up yet have missed the digests sent at the start.
    Append(actions, this->AskSeeds(now));
    return actions;
  }
  if (now - last < pause) {
    return actions;
  }
  last = now;
  for (const common::Endpoint& peer :
       this->roster.Pick(this->limits.readers, this->jitter, now)) {
    PeerDigest digest = this->MakeDigest(peer, now);
    digest.wants_answer = asks;
    actions.digests.push_back({peer, std::move(digest)});
  }
  return actions;
}

void PeerSync::TakeMark(const ViewMark& mark, std::chrono::milliseconds now) {
  StoreContact& contact = this->view.Contact();
  // Before any change is taken: a removal that the store's absence caused must
  // be known as one.
  if (mark.store_returned_ago) {
    contact.OnReturn(now - *mark.store_returned_ago);
  }
}

// Readers retry the store several times a second and ask their peers, so an old
// view of a reader means that neither it nor its peers can reach the store.
void PeerSync::NoteStoreAbsence(const PeerDigest& digest,
                                std::chrono::milliseconds now) {
  if (!digest.view.age || *digest.view.age <= this->limits.read_after) {
    return;
  }
  const std::vector<common::Endpoint> readers =
      this->roster.Readers(this->limits.readers, now);
  if (std::ranges::find(readers, digest.sender) != readers.end()) {
    this->view.Contact().OnAbsence();
    this->plan.OnStoreAbsence(this->roster.DomainSize(now), now);
  }
}

SyncActions PeerSync::OnDigest(const PeerDigest& digest,
                               std::chrono::milliseconds now) {
  const bool is_new = this->roster.OnDigest(digest, now);
  this->plan.OnDigest(now);
  const common::Revision before = this->view.Items().Complete();
  this->Owe(digest, before);
  SyncActions actions;
  this->TakeMark(digest.view, now);
  this->NoteStoreAbsence(digest, now);
  if (digest.changes) {
    this->view.OnPeerItems(*digest.changes, now);
  }
  const common::Revision have = this->view.Items().Complete();
  if (have > before && this->IsReader(now)) {
    actions = this->TellFollowers(PartsSince(this->view.Items(), before), now);
  }
  Append(actions, this->TellOwed(now));
  if (digest.view.age && digest.view.complete >= have &&
      digest.view.complete.value != 0) {
    if (digest.view.complete == have) {
      this->view.Contact().OnConfirmed(now - *digest.view.age);
    } else if (!this->pull.Running() && !this->view.Contact().Answers()) {
      actions.pull = this->pull.Start(digest.sender, digest.view.complete, now);
    }
  }
  if (!this->view.Usable() && !this->pull.Pending()) {
    Append(actions, this->AskReaders(now));
  }
  // A newcomer is told at once: it may be new to everybody, and asks nobody
  // else.
  if (digest.wants_answer) {
    Append(
        actions,
        this->Tell(std::array{digest.sender},
                   PartsSince(this->view.Items(), digest.view.complete), now));
  } else if (is_new) {
    actions.digests.push_back(
        {digest.sender, this->MakeDigest(digest.sender, now)});
  }
  return actions;
}

SyncActions PeerSync::OnStoreNews(common::Revision before,
                                  std::chrono::milliseconds now) {
  const bool tells_followers =
      this->IsReader(now) || this->plan.IsSubstitute(now);
  return this->OnNews(before, tells_followers, now);
}

SyncActions PeerSync::OnNews(common::Revision before, bool tells_followers,
                             std::chrono::milliseconds now) {
  const std::vector<ItemDelta> changes = PartsSince(this->view.Items(), before);
  SyncActions actions =
      tells_followers ? this->TellFollowers(changes, now) : SyncActions{};
  Append(actions, this->TellOwed(now));
  return actions;
}

SyncActions PeerSync::TellFollowers(std::span<const ItemDelta> changes,
                                    std::chrono::milliseconds now) {
  const Followers followers =
      this->roster.FollowersOf(this->limits.readers, now);
  if (followers.lively.size() + followers.quiet.size() <= kToldDirectly) {
    SyncActions actions = this->Tell(followers.lively, changes, now);
    Append(actions, this->Tell(followers.quiet, changes, now));
    return actions;
  }
  return this->TellThroughRelays(followers, changes, now);
}

// A reader that told each member of a large domain itself would spend bytes in
// proportion to it: with 116 members and a few changes a second more than all
// of its control may take, and on a link of 10 Mbit/s its clients' packets
// would wait behind them. So it tells some, and each of those passes it on to a
// few. The groups are drawn anew each time: a relay that has died costs its
// group this one digest, and the other reader's comes through another relay.
SyncActions PeerSync::TellThroughRelays(const Followers& followers,
                                        std::span<const ItemDelta> changes,
                                        std::chrono::milliseconds now) {
  std::vector<common::Endpoint> members = followers.lively;
  for (std::size_t i = members.size(); i > 1; --i) {
    std::swap(members[i - 1], members[this->jitter.Below(i)]);
  }
  members.insert(members.end(), followers.quiet.begin(), followers.quiet.end());
  // With as many relays as each has to tell, nobody sends more than the square
  // root of the domain.
  const auto relays =
      static_cast<std::size_t>(std::sqrt(static_cast<double>(members.size())));
  SyncActions actions =
      this->Tell(std::span(members).first(relays), changes, now);
  const std::size_t digests_each = actions.digests.size() / relays;
  for (std::size_t d = 0; d < actions.digests.size(); ++d) {
    PeerDigest& digest = actions.digests[d].digest;
    digest.known.clear();  // Room for those who are to be told.
    for (std::size_t i = relays + d / digests_each; i < members.size();
         i += relays) {
      if (digest.pass_on.size() < kMostPassedOn) {
        digest.pass_on.push_back(members[i]);
      }
    }
  }
  return actions;
}

SyncActions PeerSync::Tell(std::span<const common::Endpoint> members,
                           std::span<const ItemDelta> changes,
                           std::chrono::milliseconds now) {
  SyncActions actions;
  for (const common::Endpoint& member : members) {
    if (changes.empty()) {
      actions.digests.push_back({member, this->MakeDigest(member, now)});
    }
    for (const ItemDelta& part : changes) {
      PeerDigest digest = this->MakeDigest(member, now);
      if (part.to < digest.view.complete) {
        // The rest follows. Without an age the receiver neither takes its view
        // for confirmed nor asks for a copy of what is on its way.
        digest.view.complete = part.to;
        digest.view.age.reset();
      }
      digest.changes = part;
      actions.digests.push_back({member, std::move(digest)});
    }
  }
  return actions;
}

void PeerSync::Owe(const PeerDigest& digest, common::Revision before) {
  if (digest.pass_on.empty()) {
    return;
  }
  const common::Revision base = digest.changes ? digest.changes->from : before;
  if (this->owed.empty()) {
    this->owed_base_revision = base;
    this->owed_revision = digest.view.complete;
  } else {
    this->owed_base_revision = std::min(this->owed_base_revision, base);
    this->owed_revision = std::max(this->owed_revision, digest.view.complete);
  }
  for (const common::Endpoint& member : digest.pass_on) {
    const bool known =
        std::ranges::find(this->owed, member) != this->owed.end();
    if (!known && this->owed.size() < kMostPassedOn) {
      this->owed.push_back(member);
    }
  }
}

SyncActions PeerSync::TellOwed(std::chrono::milliseconds now) {
  if (this->owed.empty() ||
      this->view.Items().Complete() < this->owed_revision) {
    return {};
  }
  return this->Tell(std::exchange(this->owed, {}),
                    PartsSince(this->view.Items(), this->owed_base_revision),
                    now);
}

SyncActions PeerSync::OnPulled(ItemDelta delta, const ViewMark& mark,
                               std::chrono::milliseconds now) {
  this->pull.OnPulled();
  const common::Revision before = this->view.Items().Complete();
  this->TakeMark(mark, now);
  this->view.OnPeerItems(std::move(delta), now);
  if (mark.age && mark.complete == this->view.Items().Complete()) {
    this->view.Contact().OnConfirmed(now - *mark.age);
  }
  return this->OnNews(before, this->IsReader(now), now);
}

}  // namespace sassafrasdyke::core
