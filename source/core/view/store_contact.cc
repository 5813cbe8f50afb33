#include "core/view/store_contact.h"

#include <algorithm>

namespace sassafrasdyke::core {

void StoreContact::OnConfirmed(std::chrono::milliseconds at) {
  this->confirmed_at = std::max(this->confirmed_at.value_or(at), at);
}

void StoreContact::OnAnswer(std::chrono::milliseconds now) {
  if (this->SeemsAbsent(now)) {
    this->OnReturn(now);
  }
  this->away = false;
  this->answers = true;
  this->ever_answered = true;
  this->OnConfirmed(now);
}

void StoreContact::OnFailure() {
  this->answers = false;
  // A store that this instance has never reached isn't known to be away from
  // the targets; its first listing is taken as it is.
  this->away = this->away || this->ever_answered;
}

void StoreContact::OnAbsence() {
  this->away = this->away || this->confirmed_at.has_value();
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

std::chrono::milliseconds StoreContact::SettledAt() const {
  return this->returned_at ? *this->returned_at + kReturnSettle
                           : std::chrono::milliseconds{0};
}

std::chrono::milliseconds StoreContact::RemovalDue(
    std::chrono::milliseconds now) const {
  return this->SeemsAbsent(now) ? now + kReturnSettle : this->SettledAt();
}

bool StoreContact::LapseLikely(std::chrono::milliseconds now) const {
  return this->SeemsAbsent(now) || now < this->SettledAt();
}

bool StoreContact::SeemsAbsent(std::chrono::milliseconds now) const {
  return this->away && this->confirmed_at &&
         now - *this->confirmed_at > kHarmlessAbsence;
}

}  // namespace sassafrasdyke::core
