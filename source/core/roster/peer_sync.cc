#include "core/roster/peer_sync.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <utility>

#include "core/roster/delta_parts.h"

namespace sassafrasdyke::core {
namespace {

/// Members mentioned in a digest. If each instance sends two digests a second,
/// every member of a domain of 116 becomes known to all within about 6 s.
constexpr std::size_t kMaxMentions = 6;
/// Up to this many followers a reader notifies all of them itself; 32 digests
/// are 7 kB. Beyond, it uses relays. If a relay dies, the members behind it get
/// the change only with the other reader's digests.
constexpr std::size_t kMaxNotifiedDirectly = 32;
/// One of so many digests in the own domain goes to a reader: of one digest a
/// second, and of five that carry observations. A reader of a domain of 116
/// hears 30 a second from it in either case.
constexpr std::uint64_t kReaderInterval = 2;
constexpr std::uint64_t kReaderIntervalWithObservations = 10;
/// Members that one relay may be asked to notify. More than any domain needs,
/// and few enough to limit the amplification of a forged digest.
constexpr std::size_t kMaxRelayReceivers = 32;

void Append(SyncActions& actions, SyncActions more) {
  std::ranges::move(more.digests, std::back_inserter(actions.digests));
}

}  // namespace

ViewStatus PeerSync::Status(std::chrono::milliseconds now) const {
  const StoreContact& contact = this->view.Contact();
  ViewStatus status{this->view.Items().Complete(), contact.Age(now),
                    std::nullopt};
  if (const auto returned = contact.ReturnedAt()) {
    status.store_returned_ago = now - *returned;
  }
  return status;
}

PeerDigest PeerSync::MakeDigest(const common::Endpoint& receiver,
                                std::chrono::milliseconds now) {
  PeerDigest digest = this->MakeBareDigest(receiver, now);
  digest.content_hash = this->view.Items().ContentHash();
  for (ObservationExchange* const observer : this->observers) {
    observer->Append(digest.observations, now);
  }
  return digest;
}

PeerDigest PeerSync::MakeBareDigest(const common::Endpoint& receiver,
                                    std::chrono::milliseconds now) {
  PeerDigest digest;
  digest.sender = this->roster.Self().address;
  digest.domain = this->roster.Self().domain;
  digest.leaving = this->leaving;
  digest.view = this->Status(now);
  digest.known = this->roster.SelectMentions(receiver, this->limits.readers,
                                             kMaxMentions, this->jitter, now);
  return digest;
}

DigestOut PeerSync::MakeQuery(const common::Endpoint& receiver,
                              std::chrono::milliseconds now) {
  DigestOut query{receiver, this->MakeDigest(receiver, now)};
  query.digest.wants_answer = true;
  return query;
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

std::optional<LateView> PeerSync::Late(std::chrono::milliseconds now) const {
  const auto age = this->view.Contact().Age(now);
  if (!this->view.Usable() || !age || *age <= this->limits.read_after) {
    return std::nullopt;
  }
  LateView late{.age = *age,
                .highest_heard = this->highest_heard,
                .copy = this->pull.State(),
                .reading = this->Reading(now)};
  if (const auto last = this->plan.LastDigestAt()) {
    late.last_digest_ago = now - *last;
  }
  const auto from = this->plan.SubstituteFrom();
  if (from && !this->plan.IsSubstitute(now)) {
    late.substitute_in = *from - now;
  }
  return late;
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
  this->ClearRelayUnlessPulling();
  return actions;
}

SyncActions PeerSync::OnPullRefused(
    const std::optional<common::Endpoint>& instead) {
  SyncActions actions;
  actions.pull = this->pull.OnRefused(instead);
  this->ClearRelayUnlessPulling();
  return actions;
}

void PeerSync::ClearRelayUnlessPulling() {
  // The changes to relay won't arrive. Their receivers get them from others, or
  // query peers once their views are too old.
  if (!this->pull.Pending()) {
    this->relay_queue.clear();
  }
}

bool PeerSync::NeedsPeers(std::chrono::milliseconds now) const {
  if (now < this->limits.first_query_after) {
    return false;
  }
  const auto age = this->view.Contact().Age(now);
  const bool store_fails =
      this->ShouldRead(now) && !this->view.Contact().LastCallServed();
  return !age || *age > this->limits.query_after || store_fails;
}

std::chrono::milliseconds PeerSync::HeartbeatInterval() const {
  return this->observers.empty() ? this->limits.heartbeat_interval
                                 : this->limits.observation_interval;
}

SyncActions PeerSync::SendObservations(UrgentReceivers audience,
                                       std::chrono::milliseconds now) {
  std::vector<common::Endpoint> receivers =
      audience == UrgentReceivers::kReaders
          ? this->roster.Readers(this->limits.readers, now)
          : this->roster.Neighbours();
  std::erase(receivers, this->roster.Self().address);
  for (std::size_t i = receivers.size(); i > 1; --i) {
    std::swap(receivers[i - 1], receivers[this->jitter.Below(i)]);
  }
  receivers.resize(std::min(receivers.size(), kMaxNotifiedDirectly));
  return this->MakeDigests(receivers, {}, now);
}

SyncActions PeerSync::OnStart(std::chrono::milliseconds now) {
  return this->QuerySeeds(now);
}

SyncActions PeerSync::QuerySeeds(std::chrono::milliseconds now) {
  SyncActions actions;
  for (const common::Endpoint& seed : this->roster.Seeds()) {
    actions.digests.push_back(this->MakeQuery(seed, now));
  }
  return actions;
}

SyncActions PeerSync::QueryReaders(std::chrono::milliseconds now) {
  // Limits the queries while the set of readers changes with new members.
  constexpr std::size_t kMaxQueries = 16;
  SyncActions actions;
  for (const common::Endpoint& reader :
       this->roster.Readers(this->limits.readers, now)) {
    const bool queried = std::ranges::find(this->queried_readers, reader) !=
                         this->queried_readers.end();
    if (!queried && this->queried_readers.size() < kMaxQueries) {
      this->queried_readers.push_back(reader);
      actions.digests.push_back(this->MakeQuery(reader, now));
    }
  }
  return actions;
}

SyncActions PeerSync::OnTick(std::chrono::milliseconds now) {
  this->roster.Expire(now);
  this->plan.OnTick(this->view.Contact().Age(now), this->roster.DomainSize(now),
                    now);
  const bool needs_peers = this->NeedsPeers(now);
  std::chrono::milliseconds& last_sent_at =
      needs_peers ? this->last_query_at : this->last_heartbeat_at;
  std::chrono::milliseconds interval =
      needs_peers ? this->limits.query_interval : this->HeartbeatInterval();
  if (!this->view.Usable()) {
    interval = this->limits.query_interval_without_view;
  }
  SyncActions actions;
  actions.pull = this->pull.Retry(this->view.Items().Complete());
  if (!this->plan.HasHeardPeers() && !this->view.Usable()) {
    // Seeds that started later have missed the digests sent by OnStart().
    Append(actions, this->QuerySeeds(now));
    return actions;
  }
  if (now - last_sent_at < interval) {
    return actions;
  }
  last_sent_at = now;
  const std::uint64_t reader_interval = this->observers.empty()
                                            ? kReaderInterval
                                            : kReaderIntervalWithObservations;
  for (const common::Endpoint& peer : this->roster.PickReceivers(
           this->limits.readers, reader_interval, this->jitter, now)) {
    PeerDigest digest = this->MakeDigest(peer, now);
    digest.wants_answer = needs_peers;
    actions.digests.push_back({peer, std::move(digest)});
  }
  return actions;
}

void PeerSync::RecordStoreReturn(const ViewStatus& status,
                                 std::chrono::milliseconds now) {
  StoreContact& contact = this->view.Contact();
  // Callers apply changes only after this: removals after an outage of the
  // store may be expired entries of live targets, and must be recognized as
  // such.
  if (status.store_returned_ago) {
    contact.OnReturn(now - *status.store_returned_ago);
  }
}

// Readers retry the store several times a second and ask their peers, so an old
// view of a reader means that neither it nor its peers can reach the store.
void PeerSync::DetectStoreOutage(const PeerDigest& digest,
                                 std::chrono::milliseconds now) {
  if (!digest.view.age || *digest.view.age <= this->limits.read_after) {
    return;
  }
  const std::vector<common::Endpoint> readers =
      this->roster.Readers(this->limits.readers, now);
  if (std::ranges::find(readers, digest.sender) != readers.end()) {
    this->view.Contact().OnStoreUnreachable();
    this->plan.OnStoreUnreachable(this->roster.DomainSize(now), now);
  }
}

SyncActions PeerSync::OnDigest(const PeerDigest& digest,
                               std::chrono::milliseconds now) {
  const bool is_new = this->roster.OnDigest(digest, now);
  for (ObservationExchange* const observer : this->observers) {
    observer->OnObservations(digest.sender, digest.domain, digest.observations,
                             now);
  }
  SyncActions actions;
  if (!digest.has_evacuations) {
    // Counts as a member only; without others this instance reads the store.
    this->AppendAnswer(digest, now, actions);
    return actions;
  }
  this->plan.OnDigest(now);
  this->highest_heard = std::max(this->highest_heard, digest.view.complete);
  const common::Revision before = this->view.Items().Complete();
  this->QueueRelay(digest, before);
  this->RecordStoreReturn(digest.view, now);
  this->DetectStoreOutage(digest, now);
  if (digest.changes) {
    this->view.OnPeerItems(*digest.changes, now, digest.view.age);
  }
  const common::Revision have = this->view.Items().Complete();
  if (have > before && this->IsReader(now)) {
    actions =
        this->NotifyFollowers(PartsSince(this->view.Items(), before), now);
  }
  Append(actions, this->SendRelay(now));
  if (digest.view.age && digest.view.complete >= have &&
      digest.view.complete.value != 0) {
    if (digest.view.complete == have) {
      this->view.Contact().OnConfirmed(now - *digest.view.age, now);
    } else if (!this->pull.Running() &&
               !this->view.Contact().LastCallServed()) {
      actions.pull = this->pull.Start(digest.sender, digest.view.complete, now);
    }
  }
  if (this->MustReplaceView(digest, now)) {
    actions.pull = this->pull.StartFull(digest.sender, now);
  }
  if (!this->view.Usable() && !this->pull.Pending()) {
    Append(actions, this->QueryReaders(now));
  }
  // A new member gets a digest at once: it may be unknown to all instances, and
  // queries no other.
  this->AppendAnswer(digest, now, actions);
  if (!digest.wants_answer && is_new) {
    actions.digests.push_back(
        {digest.sender, this->MakeDigest(digest.sender, now)});
  }
  return actions;
}

bool PeerSync::MustReplaceView(const PeerDigest& digest,
                               std::chrono::milliseconds now) {
  const auto own = this->view.Items().ContentHash();
  if (!digest.content_hash || !own || this->pull.Pending() ||
      digest.view.complete != this->view.Items().Complete()) {
    return false;
  }
  return this->comparison.OnPeer(digest.sender, *digest.content_hash == *own,
                                 now);
}

void PeerSync::AppendAnswer(const PeerDigest& digest,
                            std::chrono::milliseconds now,
                            SyncActions& actions) {
  if (digest.wants_answer) {
    Append(actions,
           this->MakeDigests(
               std::array{digest.sender},
               PartsSince(this->view.Items(), digest.view.complete), now));
  }
}

SyncActions PeerSync::OnStoreRead(common::Revision before,
                                  std::chrono::milliseconds now) {
  const bool notify_followers =
      this->IsReader(now) || this->plan.IsSubstitute(now);
  return this->OnViewChanged(before, notify_followers, now);
}

SyncActions PeerSync::OnViewChanged(common::Revision before,
                                    bool notify_followers,
                                    std::chrono::milliseconds now) {
  const std::vector<ItemDelta> changes = PartsSince(this->view.Items(), before);
  SyncActions actions =
      notify_followers ? this->NotifyFollowers(changes, now) : SyncActions{};
  Append(actions, this->SendRelay(now));
  return actions;
}

SyncActions PeerSync::NotifyFollowers(std::span<const ItemDelta> changes,
                                      std::chrono::milliseconds now) {
  const Followers followers =
      this->roster.FollowersOf(this->limits.readers, now);
  if (followers.recent.size() + followers.silent.size() <=
      kMaxNotifiedDirectly) {
    SyncActions actions = this->MakeDigests(followers.recent, changes, now);
    Append(actions, this->MakeDigests(followers.silent, changes, now));
    return actions;
  }
  return this->NotifyThroughRelays(followers, changes, now);
}

// If a reader notified each member of a large domain itself, its traffic would
// grow in proportion to the domain. With 116 members and a few changes a second
// it would exceed the whole budget for control traffic, and on a 10 Mbit/s link
// client packets would queue behind it. So the reader notifies some members,
// its relays, and each of them notifies a few others. The groups are redrawn
// for each change: a dead relay costs its group one digest, and the other
// reader's digest takes another relay.
SyncActions PeerSync::NotifyThroughRelays(const Followers& followers,
                                          std::span<const ItemDelta> changes,
                                          std::chrono::milliseconds now) {
  std::vector<common::Endpoint> members = followers.recent;
  for (std::size_t i = members.size(); i > 1; --i) {
    std::swap(members[i - 1], members[this->jitter.Below(i)]);
  }
  members.insert(members.end(), followers.silent.begin(),
                 followers.silent.end());
  // With about as many relays as members per relay, no instance notifies more
  // members than the square root of the domain's size.
  const auto relays =
      static_cast<std::size_t>(std::sqrt(static_cast<double>(members.size())));
  SyncActions actions =
      this->MakeDigests(std::span(members).first(relays), changes, now);
  const std::size_t digests_each = actions.digests.size() / relays;
  for (std::size_t d = 0; d < actions.digests.size(); ++d) {
    PeerDigest& digest = actions.digests[d].digest;
    digest.known.clear();  // Makes room for `relay_to`.
    for (std::size_t i = relays + d / digests_each; i < members.size();
         i += relays) {
      if (digest.relay_to.size() < kMaxRelayReceivers) {
        digest.relay_to.push_back(members[i]);
      }
    }
  }
  return actions;
}

SyncActions PeerSync::MakeDigests(std::span<const common::Endpoint> members,
                                  std::span<const ItemDelta> changes,
                                  std::chrono::milliseconds now) {
  SyncActions actions;
  for (const common::Endpoint& member : members) {
    if (changes.empty()) {
      actions.digests.push_back({member, this->MakeDigest(member, now)});
    }
    for (const ItemDelta& part : changes) {
      PeerDigest digest = this->MakeBareDigest(member, now);
      if (part.to < digest.view.complete) {
        // More parts follow. Without an age, the receiver neither treats its
        // view as confirmed nor requests a copy of the remaining parts.
        digest.view.complete = part.to;
        digest.view.age.reset();
      }
      digest.changes = part;
      actions.digests.push_back({member, std::move(digest)});
    }
  }
  return actions;
}

void PeerSync::QueueRelay(const PeerDigest& digest, common::Revision before) {
  if (digest.relay_to.empty()) {
    return;
  }
  const common::Revision base = digest.changes ? digest.changes->from : before;
  if (this->relay_queue.empty()) {
    this->relay_base_revision = base;
    this->relay_revision = digest.view.complete;
  } else {
    this->relay_base_revision = std::min(this->relay_base_revision, base);
    this->relay_revision = std::max(this->relay_revision, digest.view.complete);
  }
  for (const common::Endpoint& member : digest.relay_to) {
    const bool known =
        std::ranges::find(this->relay_queue, member) != this->relay_queue.end();
    if (!known && this->relay_queue.size() < kMaxRelayReceivers) {
      this->relay_queue.push_back(member);
    }
  }
}

SyncActions PeerSync::SendRelay(std::chrono::milliseconds now) {
  if (this->relay_queue.empty() ||
      this->view.Items().Complete() < this->relay_revision) {
    return {};
  }
  return this->MakeDigests(
      std::exchange(this->relay_queue, {}),
      PartsSince(this->view.Items(), this->relay_base_revision), now);
}

SyncActions PeerSync::OnPulled(ItemDelta delta, const ViewStatus& status,
                               std::chrono::milliseconds now) {
  this->pull.OnPulled();
  const common::Revision before = this->view.Items().Complete();
  this->RecordStoreReturn(status, now);
  this->view.OnPeerItems(std::move(delta), now, status.age);
  if (status.age && status.complete == this->view.Items().Complete()) {
    this->view.Contact().OnConfirmed(now - *status.age, now);
  }
  return this->OnViewChanged(before, this->IsReader(now), now);
}

}  // namespace sassafrasdyke::core
