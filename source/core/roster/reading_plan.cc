#include "core/roster/reading_plan.h"

namespace sassafrasdyke::core {
namespace {

/// An instance that has received no digest for this long may be disconnected
/// from its peers and reads the store without delay. Members send a digest
/// every second.
constexpr std::chrono::milliseconds kIsolatedAfter{1500};

}  // namespace

ReadingPlan::ReadingPlan(const SyncLimits& limits, std::uint64_t seed)
    : limits(limits),
      jitter(seed),
      list_without_peers_from(
          limits.seed_answer_timeout +
          this->jitter.UpTo(2 * limits.seed_answer_timeout)) {}

void ReadingPlan::OnDigest(std::chrono::milliseconds now) {
  if (!this->last_digest_at) {
    this->listing_left_until = now + this->limits.leave_listing +
                               this->jitter.UpTo(this->limits.leave_listing);
  }
  this->last_digest_at = now;
}

std::chrono::milliseconds ReadingPlan::NextSubstituteTime(
    std::size_t members, std::chrono::milliseconds now) {
  if (!this->last_digest_at || now - *this->last_digest_at > kIsolatedAfter) {
    return now;
  }
  return now + this->jitter.UpTo(this->limits.substitute_delay_per_member *
                                 static_cast<int>(members));
}

void ReadingPlan::OnFailure(std::size_t members,
                            std::chrono::milliseconds now) {
  if (this->HasHeardPeers()) {
    const std::chrono::milliseconds start =
        this->NextSubstituteTime(members, now);
    this->listing_left_until = start;
    this->substitute_from = start;
  }
}

void ReadingPlan::OnTick(std::optional<std::chrono::milliseconds> age,
                         std::size_t members, std::chrono::milliseconds now) {
  if (!this->TooOld(age)) {
    this->substitute_from.reset();
  } else if (!this->substitute_from) {
    this->substitute_from = this->NextSubstituteTime(members, now);
  }
}

StoreReading ReadingPlan::ReadingWithoutView(
    const ReadingRole& role, std::chrono::milliseconds now) const {
  if (role.seed) {
    return StoreReading::kNeeded;
  }
  if (!this->HasHeardPeers()) {
    return now < this->list_without_peers_from ? StoreReading::kNone
                                               : StoreReading::kNeeded;
  }
  if (role.reader) {
    return StoreReading::kNeeded;
  }
  return now < this->listing_left_until ? StoreReading::kNone
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
