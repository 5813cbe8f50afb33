#include "clients/target_prober.h"

#include <algorithm>

#include "config/json_text.h"
#include "config/value_format.h"

namespace sassafrasdyke::clients {
namespace {

constexpr double kMillisecondsPerSecond = 1000.0;
constexpr long kOk = 200;  // NOLINT(google-runtime-int): the library's type.

}  // namespace

std::optional<core::TargetHealth> ReadHealth(const std::string& body) {
  static const config::Choice<core::TargetHealth> words{
      {{"healthy", core::TargetHealth::kHealthy},
       {"shedding", core::TargetHealth::kShedding},
       {"failing", core::TargetHealth::kFailing}}};
  const auto json = config::ParseJson(body, "");
  if (!json || !json->is_object() || !json->contains("health")) {
    return std::nullopt;
  }
  core::TargetHealth health = core::TargetHealth::kUnknown;
  if (!words.Read((*json)["health"], health)) {
    return std::nullopt;
  }
  return health;
}

TargetProber::Probe::Probe(TargetProber& prober, const ProbedTarget& target)
    : prober(prober),
      target(target),
      timer(prober.loop),
      hysteresis(prober.limits.hysteresis) {
  this->timer.set<Probe, &Probe::OnTimer>(this);
}

void TargetProber::Probe::OnTimer(ev::timer& /*timer*/, int /*events*/) {
  this->prober.Request(*this);
}

TargetProber::TargetProber(ev::loop_ref loop, const ProbeLimits& limits,
                           std::uint64_t seed, ProbeListener& listener)
    : loop(loop),
      limits(limits),
      listener(listener),
      jitter(seed),
      client(loop) {}

TargetProber::~TargetProber() = default;

void TargetProber::SetTargets(const std::vector<ProbedTarget>& targets) {
  std::unordered_map<common::TargetId, ProbedTarget> wanted;
  for (const ProbedTarget& target : targets) {
    wanted.emplace(target.id, target);
  }
  std::vector<common::TargetId> gone;
  for (const auto& [id, probe] : this->probes) {
    const auto found = wanted.find(id);
    if (found == wanted.end() || found->second != probe->target) {
      gone.push_back(id);
    }
  }
  for (const common::TargetId id : gone) {
    this->Remove(id);
  }
  for (const auto& [id, target] : wanted) {
    if (!this->probes.contains(id)) {
      this->Start(target);
    }
  }
}

void TargetProber::Start(const ProbedTarget& target) {
  std::unique_ptr<Probe>& probe = this->probes[target.id];
  probe = std::make_unique<Probe>(*this, target);
  // A new configuration names many targets at once; probing them all at the
  // same moment would be a burst at them and here.
  const std::chrono::milliseconds wait = this->jitter.UpTo(this->Interval());
  probe->timer.start(static_cast<double>(wait.count()) /
                     kMillisecondsPerSecond);
}

void TargetProber::Remove(common::TargetId target) {
  const auto found = this->probes.find(target);
  const HttpRequestId running = found->second->running;
  this->client.Cancel(running);
  this->requests.erase(running);
  this->probes.erase(found);
}

void TargetProber::Request(Probe& probe) {
  ++this->counts.probes;
  probe.running =
      this->client.Get({"http://" + probe.target.health.ToString() + "/health",
                        this->limits.deadline, this->limits.max_answer},
                       *this);
  this->requests.emplace(probe.running, probe.target.id);
}

void TargetProber::OnHttpOutcome(
    HttpRequestId request,
    const tl::expected<HttpAnswer, HttpFailure>& outcome) {
  const auto found = this->requests.find(request);
  const common::TargetId target = found->second;
  this->requests.erase(found);
  Probe& probe = *this->probes.at(target);
  probe.running = {};
  this->ScheduleNext(probe);
  if (const auto change = probe.hysteresis.Observe(this->Judge(outcome))) {
    ++this->counts.changes;
    // Last, since the listener may remove the target.
    this->listener.OnTargetProbed(target, *change);
  }
}

core::TargetHealth TargetProber::Judge(
    const tl::expected<HttpAnswer, HttpFailure>& outcome) {
  if (!outcome) {
    ++this->counts.unreachable;
    return core::TargetHealth::kFailing;
  }
  const auto health =
      outcome->status == kOk ? ReadHealth(outcome->body) : std::nullopt;
  if (!health) {
    ++this->counts.unreadable;
    return core::TargetHealth::kFailing;
  }
  return *health;
}

void TargetProber::ScheduleNext(Probe& probe) {
  // Between half and one and a half intervals, so that the probes of several
  // instances never fall into step.
  const std::chrono::milliseconds interval = this->Interval();
  const std::chrono::milliseconds wait =
      interval / 2 + this->jitter.UpTo(interval);
  probe.timer.start(static_cast<double>(wait.count()) / kMillisecondsPerSecond);
}

std::chrono::milliseconds TargetProber::Interval() const {
  const std::chrono::milliseconds within_budget =
      std::chrono::seconds(this->probes.size()) /
      this->limits.probes_per_second;
  return std::max(this->limits.interval, within_budget);
}

}  // namespace sassafrasdyke::clients
