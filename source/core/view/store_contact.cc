#include "core/view/store_contact.h"

#include <algorithm>

#include "core/load/resume_filter.h"

namespace sassafrasdyke::core {

void StoreContact::OnConfirmed(std::chrono::milliseconds at,
                               std::chrono::milliseconds now) {
  const std::chrono::milliseconds since =
      now < this->drained_at ? at - this->waited : at;
  this->confirmed_at = std::max(this->confirmed_at.value_or(since), since);
}

void StoreContact::OnPause(std::chrono::milliseconds length,
                           std::chrono::milliseconds now) {
  this->waited = length;
  this->drained_at = now + ResumeFilter::kDrainTime;
}

// An instance that begins to read, after its start or because nobody notified
// it, may do so just after an outage that it has seen no sign of but the age of
// its view. Whether only the readers were gone instead can't be told then.
void StoreContact::OnAnswer(std::chrono::milliseconds now,
                            std::chrono::milliseconds age) {
  const bool first_call = !this->last_call_served;
  if (this->SeemsUnreachable(now) || (first_call && this->IsOld(now))) {
    this->OnReturn(now);
  }
  this->unreachable = false;
  this->last_call_served = true;
  this->OnConfirmed(now - age, now);
}

void StoreContact::OnFailure() {
  this->last_call_served = false;
  this->OnStoreUnreachable();
}

// Without a view the instance can't tell an outage of the store from its own;
// its first listing is then applied as it is.
void StoreContact::OnStoreUnreachable() {
  this->unreachable = this->unreachable || this->confirmed_at.has_value();
}

void StoreContact::OnReturn(std::chrono::milliseconds at) {
  this->returned_at = std::max(this->returned_at.value_or(at), at);
}

std::optional<std::chrono::milliseconds> StoreContact::Age(
    std::chrono::milliseconds now) const {
  if (!this->confirmed_at) {
    return std::nullopt;
  }
  return now - *this->confirmed_at;
}

std::chrono::milliseconds StoreContact::ReregisteredBy() const {
  return this->returned_at ? *this->returned_at + kReturnSettle
                           : std::chrono::milliseconds{0};
}

std::chrono::milliseconds StoreContact::RemovalEffectiveAt(
    std::chrono::milliseconds now) const {
  return this->SeemsUnreachable(now) ? now + kReturnSettle
                                     : this->ReregisteredBy();
}

bool StoreContact::LapseLikely(std::chrono::milliseconds now) const {
  return this->SeemsUnreachable(now) || now < this->ReregisteredBy();
}

bool StoreContact::SeemsUnreachable(std::chrono::milliseconds now) const {
  return this->unreachable && this->IsOld(now);
}

bool StoreContact::IsOld(std::chrono::milliseconds now) const {
  return this->confirmed_at && now - *this->confirmed_at > kMaxHarmlessOutage;
}

}  // namespace sassafrasdyke::core
