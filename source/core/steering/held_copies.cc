#include "core/steering/held_copies.h"

#include <algorithm>
#include <cstddef>

#include "core/steering/syn_queue.h"

namespace sassafrasdyke::core {
namespace {

/// Four times as many flows as can wait at once, some 0.4 MB.
constexpr std::size_t kMaxFlows = 4096;

}  // namespace

void HeldCopies::OnHeld(const FlowPacket& syn, std::chrono::milliseconds now) {
  const auto found = this->flows.find(syn.flow);
  const bool known = found != this->flows.end();
  // A first copy begins a new flow, also where an earlier one had the same key.
  const std::uint32_t held = known && syn.repeats > 0 ? found->second.count : 0;
  const bool missed = syn.repeats > held;
  if (missed) {
    this->Forget(syn.flow);
  } else if (known) {
    found->second = {std::max(held, syn.repeats + 1), now};
  } else if (this->flows.size() < kMaxFlows) {
    this->flows.emplace(syn.flow, Copies{1, now});
  }
}

void HeldCopies::Expire(std::chrono::milliseconds now) {
  std::erase_if(this->flows, [now](const auto& entry) {
    return now - entry.second.last > kSynLife;
  });
}

}  // namespace sassafrasdyke::core
