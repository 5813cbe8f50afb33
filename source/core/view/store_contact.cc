#include "core/view/store_contact.h"

#include <algorithm>

namespace sassafrasdyke::core {

void StoreContact::OnConfirmed(std::chrono::milliseconds at) {
  this->confirmed_at = std::max(this->confirmed_at.value_or(at), at);
}

void StoreContact::OnAnswer(std::chrono::milliseconds now) {
  if (this->SeemsUnreachable(now)) {
    this->OnReturn(now);
  }
  this->unreachable = false;
  this->last_call_served = true;
  this->ever_served = true;
  this->OnConfirmed(now);
}

void StoreContact::OnFailure() {
  this->last_call_served = false;
  // If this instance has never reached the store, its failures don't show that
  // targets can't reach it either. The first listing is then applied as it is.
  this->unreachable = this->unreachable || this->ever_served;
}

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
  return this->unreachable && this->confirmed_at &&
         now - *this->confirmed_at > kMaxHarmlessOutage;
}

}  // namespace sassafrasdyke::core
