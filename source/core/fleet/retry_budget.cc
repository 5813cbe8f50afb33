#include "core/fleet/retry_budget.h"

#include <algorithm>

namespace sassafrasdyke::core {

void RetryBudget::OnRequest() { this->Earn(kSharePerRequest); }

void RetryBudget::EarnRetry() { this->Earn(kOneRetry); }

bool RetryBudget::TakeRetry() {
  if (this->saved < kOneRetry) {
    ++this->denied;
    return false;
  }
  this->saved -= kOneRetry;
  return true;
}

void RetryBudget::Earn(std::uint32_t share) {
  this->saved = std::min(kMaxSaved, this->saved + share);
}

}  // namespace sassafrasdyke::core
