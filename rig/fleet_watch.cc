#include "rig/fleet_watch.h"

#include <algorithm>
#include <fstream>
#include <limits>
#include <string>

namespace sassafrasdyke::rig {
namespace {

constexpr std::chrono::milliseconds kPollOften{100};
constexpr std::chrono::milliseconds kPollSeldom{1000};

double Seconds(std::chrono::microseconds time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

void FleetWatch::Start() { this->Poll(); }

void FleetWatch::Poll() {
  for (const common::InstanceId id : this->instances.Answering()) {
    this->probe.Read(this->plan.Metrics(id.value),
                     [this, id](std::optional<InstanceMetrics> found) {
                       if (found) {
                         this->latest[id] = std::move(*found);
                         this->CheckChanges();
                       }
                     });
  }
  // Often only while somebody waits for the answer: reading costs the
  // instances processor time too.
  const bool hurry = !this->loading || !this->changes.empty();
  this->scheduler.After(hurry ? kPollOften : kPollSeldom,
                        [this] { this->Poll(); });
}

std::uint64_t FleetWatch::OldestRevision() const {
  std::uint64_t oldest = std::numeric_limits<std::uint64_t>::max();
  for (const common::InstanceId id : this->instances.Answering()) {
    const auto found = this->latest.find(id);
    oldest = std::min(oldest, found == this->latest.end()
                                  ? 0
                                  : found->second.configuration_revision);
  }
  return oldest;
}

bool FleetWatch::AllReady() const {
  const auto answering = this->instances.Answering();
  return std::all_of(answering.begin(), answering.end(),
                     [this](common::InstanceId id) {
                       const auto found = this->latest.find(id);
                       return found != this->latest.end() &&
                              found->second.configuration_revision > 0 &&
                              found->second.instances_revision > 0;
                     });
}

void FleetWatch::BeginLoad() {
  this->loading = true;
  this->began = this->scheduler.Now();
  this->at_begin = this->latest;
}

void FleetWatch::OnPublished(std::uint64_t revision) {
  if (this->loading) {
    this->changes.push_back({revision, this->scheduler.Now()});
  }
}

void FleetWatch::CheckChanges() {
  const std::uint64_t oldest = this->OldestRevision();
  while (!this->changes.empty() && this->changes.front().revision <= oldest) {
    this->change_seconds.push_back(
        Seconds(this->scheduler.Now() - this->changes.front().published_at));
    this->changes.erase(this->changes.begin());
  }
}

std::optional<double> FleetWatch::ControlBytesPerSecond() const {
  double sum = 0;
  std::size_t count = 0;
  for (const common::InstanceId id : this->instances.Answering()) {
    const auto before = this->at_begin.find(id);
    const auto after = this->latest.find(id);
    if (before != this->at_begin.end() && after != this->latest.end()) {
      sum += after->second.control_bytes - before->second.control_bytes;
      ++count;
    }
  }
  if (count == 0) {
    return std::nullopt;
  }
  return sum / static_cast<double>(count) /
         Seconds(this->scheduler.Now() - this->began);
}

std::chrono::milliseconds FleetWatch::DataCpu() const {
  std::chrono::milliseconds sum{0};
  for (const auto& [id, metrics] : this->latest) {
    const auto before = this->at_begin.find(id);
    sum += metrics.data_cpu;
    if (before != this->at_begin.end()) {
      sum -= before->second.data_cpu;
    }
  }
  return sum;
}

void FleetWatch::Save(const std::filesystem::path& folder) const {
  for (const auto& [id, metrics] : this->latest) {
    const std::string name = "metrics-" + std::to_string(id.value) + ".txt";
    std::ofstream(folder / name) << metrics.text;
  }
}

}  // namespace sassafrasdyke::rig
