#include "core/roster/reading_plan.h"

#include <algorithm>
#include <utility>

namespace sassafrasdyke::core {
namespace {

/// An instance that has received no digest for this long may be disconnected
/// from its peers and reads the store without delay. Members send a digest
/// every second.
constexpr std::chrono::milliseconds kIsolatedAfter{1500};

}  // namespace

std::string_view Word(StoreReading reading) {
  switch (reading) {
    case StoreReading::kNone:
      return "none";
    case StoreReading::kProbe:
      return "probe";
    case StoreReading::kSubstitute:
      return "substitute";
    case StoreReading::kNeeded:
      return "needed";
  }
  return "unknown";
}

ReadingPlan::ReadingPlan(const SyncLimits& limits, std::uint64_t seed)
    : limits(limits),
      jitter(seed),
      list_without_peers_from(
          limits.seed_answer_timeout +
          this->jitter.UpTo(2 * limits.seed_answer_timeout)) {}

void ReadingPlan::OnDigest(std::chrono::milliseconds now) {
  if (!this->last_digest_at) {
    this->list_not_before = now + this->limits.min_copy_wait +
                            this->jitter.UpTo(this->limits.min_copy_wait);
  }
  this->last_digest_at = now;
}

bool ReadingPlan::IsIsolated(std::chrono::milliseconds now) const {
  return !this->last_digest_at || now - *this->last_digest_at > kIsolatedAfter;
}

std::chrono::milliseconds ReadingPlan::NextSubstituteTime(
    std::chrono::milliseconds max_delay, std::chrono::milliseconds now) {
  return this->IsIsolated(now) ? now : now + this->jitter.UpTo(max_delay);
}

void ReadingPlan::OnFailure(std::size_t members,
                            std::chrono::milliseconds now) {
  this->store_failed = true;
  if (this->HasHeardPeers()) {
    const std::chrono::milliseconds start =
        this->NextSubstituteTime(this->MaxSubstituteDelay(members), now);
    this->list_not_before = start;
    this->substitute_from = start;
  }
}

void ReadingPlan::OnStoreUnreachable(std::size_t members,
                                     std::chrono::milliseconds now) {
  if (this->substitute_from && now < *this->substitute_from &&
      !std::exchange(this->store_unreachable, true)) {
    this->substitute_from =
        this->NextSubstituteTime(this->MaxSubstituteDelay(members), now);
  }
}

void ReadingPlan::OnTick(std::optional<std::chrono::milliseconds> age,
                         std::size_t members, std::chrono::milliseconds now) {
  if (!this->TooOld(age)) {
    this->substitute_from.reset();
    this->store_unreachable = false;
  } else if (!this->substitute_from) {
    this->substitute_from = this->NextSubstituteTime(
        std::min(this->MaxSubstituteDelay(members),
                 this->limits.max_first_substitute_delay),
        now);
  }
}

StoreReading ReadingPlan::ReadingWithoutView(
    const ReadingRole& role, std::chrono::milliseconds now) const {
  if (role.seed) {
    return StoreReading::kNeeded;
  }
  if (!this->HasHeardPeers()) {
    if (now >= this->list_without_peers_from) {
      return StoreReading::kNeeded;
    }
    return this->store_failed || now < this->limits.probe_after
               ? StoreReading::kNone
               : StoreReading::kProbe;
  }
  if (role.reader) {
    return StoreReading::kNeeded;
  }
  return now < this->list_not_before ? StoreReading::kNone
                                     : StoreReading::kSubstitute;
}

StoreReading ReadingPlan::ReadingWithView(
    const ReadingRole& role, std::optional<std::chrono::milliseconds> age,
    std::chrono::milliseconds now) const {
  if (role.reader) {
    return StoreReading::kNeeded;
  }
  return this->TooOld(age) && this->IsSubstitute(now)
             ? StoreReading::kSubstitute
             : StoreReading::kNone;
}

}  // namespace sassafrasdyke::core
