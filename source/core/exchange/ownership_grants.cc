#include "core/exchange/ownership_grants.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

/// Time until a grant is repeated for the first time; doubles with each.
constexpr std::chrono::milliseconds kFirstRepeat{100};
constexpr std::chrono::milliseconds kLongestRepeat{1000};

/// The number after `number`, without 0, which stands for no grant.
common::GrantNumber After(common::GrantNumber number) {
  ++number.value;
  return number.value == 0 ? common::GrantNumber{1} : number;
}

/// Compares numbers that wrap around, as TCP does with sequence numbers.
bool IsLater(common::GrantNumber number, common::GrantNumber than) {
  return static_cast<std::int16_t>(number.value - than.value) > 0;
}

}  // namespace

void OwnershipGrants::Grant(
    const PartitionKey& partition, common::InstanceId to,
    std::optional<std::chrono::milliseconds> openings_known_since,
    std::chrono::milliseconds now, Outbox& outbox) {
  common::GrantNumber& last = this->last_numbers[partition];
  last = After(last);
  SentGrant& grant = this->sent[partition];
  grant = {to, last, openings_known_since, now, kFirstRepeat};
  this->Send(partition, grant, now, outbox);
}

void OwnershipGrants::Finish(const PartitionKey& partition) {
  this->sent.erase(partition);
}

void OwnershipGrants::Repeat(const PartitionKey& partition,
                             std::chrono::milliseconds now, Outbox& outbox) {
  if (const auto found = this->sent.find(partition);
      found != this->sent.end()) {
    this->Send(partition, found->second, now, outbox);
  }
}

void OwnershipGrants::Send(const PartitionKey& partition, SentGrant& grant,
                           std::chrono::milliseconds now,
                           Outbox& outbox) const {
  const std::chrono::milliseconds known_for =
      grant.openings_known_since ? now - *grant.openings_known_since
                                 : std::chrono::milliseconds{0};
  outbox.messages.push_back(
      {grant.to,
       OwnershipGrant{partition, this->incarnation, grant.number, known_for}});
  grant.due = now + grant.interval;
  grant.interval = std::min(2 * grant.interval, kLongestRepeat);
}

common::GrantNumber OwnershipGrants::NumberFor(const PartitionKey& partition,
                                               common::InstanceId to) const {
  const auto found = this->sent.find(partition);
  return found != this->sent.end() && found->second.to == to
             ? found->second.number
             : common::GrantNumber{};
}

GrantNovelty OwnershipGrants::Accept(common::InstanceId from,
                                     const OwnershipGrant& grant) {
  const auto [entry, added] = this->accepted.try_emplace(
      Giver{grant.partition, from},
      AcceptedGrant{grant.incarnation, grant.number, false});
  AcceptedGrant& last = entry->second;
  const bool later = grant.incarnation > last.incarnation ||
                     (grant.incarnation == last.incarnation &&
                      IsLater(grant.number, last.number));
  if (added || later) {
    last = {grant.incarnation, grant.number, false};
    return GrantNovelty::kNew;
  }
  return grant.incarnation == last.incarnation && grant.number == last.number
             ? GrantNovelty::kRepeated
             : GrantNovelty::kIgnored;
}

void OwnershipGrants::OnHandOverEnd(const PartitionKey& partition,
                                    common::InstanceId from) {
  if (const auto found = this->accepted.find(Giver{partition, from});
      found != this->accepted.end()) {
    found->second.hand_over_ended = true;
  }
}

bool OwnershipGrants::HasReceivedAll(common::InstanceId from,
                                     const OwnershipGrant& grant) const {
  const auto found = this->accepted.find(Giver{grant.partition, from});
  return found != this->accepted.end() && found->second.hand_over_ended &&
         found->second.incarnation == grant.incarnation &&
         found->second.number == grant.number;
}

void OwnershipGrants::Flush(std::chrono::milliseconds now, Outbox& outbox) {
  for (auto& [partition, grant] : this->sent) {
    if (now >= grant.due) {
      this->Send(partition, grant, now, outbox);
    }
  }
}

void OwnershipGrants::Forget(
    const std::function<bool(common::InstanceId)>& keep) {
  std::erase_if(this->accepted,
                [&keep](const auto& entry) { return !keep(entry.first.id); });
}

}  // namespace sassafrasdyke::core
