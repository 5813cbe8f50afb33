#include "rig/load/target_model.h"

#include <utility>

namespace sassafrasdyke::rig {

using namespace std::chrono_literals;
using Time = EventQueue::Time;

RequestReception TargetModel::OnRequest(Time work,
                                        std::function<void()> on_end) {
  constexpr std::uint64_t kSteps = 1'000'000;
  const double draw = static_cast<double>(this->random.Below(kSteps)) / kSteps;
  const TargetFailures& parts = this->failures;
  if (draw < parts.hung) {
    return RequestReception::kHung;
  }
  if (draw < parts.hung + parts.reset) {
    return RequestReception::kReset;
  }
  if (draw < parts.hung + parts.reset + parts.rejected || this->Full()) {
    return RequestReception::kRejected;
  }
  Waiting request{work, std::move(on_end)};
  if (this->in_work < this->service.slots) {
    this->Process(std::move(request));
  } else {
    this->waiting.push_back(std::move(request));
  }
  return RequestReception::kTaken;
}

void TargetModel::Process(Waiting request) {
  ++this->in_work;
  const Time work(static_cast<Time::rep>(
      static_cast<double>(request.work.count()) * this->slowdown));
  this->events.After(work, [this, on_end = std::move(request.on_end)] {
    --this->in_work;
    if (!this->waiting.empty()) {
      Waiting next = std::move(this->waiting.front());
      this->waiting.pop_front();
      this->Process(std::move(next));
    }
    on_end();
  });
}

std::size_t TargetModel::CountOpening() {
  this->opened.push_back(this->events.Now());
  while (this->events.Now() - this->opened.front() > 1s) {
    this->opened.pop_front();
  }
  return this->opened.size();
}

}  // namespace sassafrasdyke::rig
