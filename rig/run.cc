#include "rig/run.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string_view>
#include <utility>

namespace sassafrasdyke::rig {
namespace {

constexpr std::chrono::milliseconds kPollEvery{100};
constexpr std::chrono::milliseconds kPollSeldom{1000};
/// Instances must have both documents after this time.
constexpr std::chrono::seconds kReadyWithin{10};
constexpr std::chrono::seconds kAllBelieved{1};
/// Open requests may end within this time after the load.
constexpr std::chrono::seconds kSettle{8};
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr unsigned kOk = 200;
constexpr std::size_t kLineBytes = 512;
constexpr std::uint32_t kWeight = 100;
constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;

LoadShape ShapeOf(const Scenario& scenario) {
  LoadShape shape;
  std::uint32_t id = 0;
  for (const ScenarioService& service : scenario.services) {
    shape.services.push_back({.service = common::ServiceId{++id},
                              .address = service.address,
                              .flows_per_second = service.flows_per_second,
                              .long_flows = service.long_flows});
  }
  shape.pause = scenario.callers.pause;
  shape.idempotent_percent = scenario.callers.idempotent_percent;
  shape.fast_open_percent = scenario.callers.fast_open_percent;
  return shape;
}

double Seconds(std::chrono::microseconds time) {
  return static_cast<double>(time.count()) / kMicrosecondsPerSecond;
}

}  // namespace

void Run::Upstream::Listen(const common::Endpoint& health) {
  this->server = std::make_unique<HttpServer>(health, *this);
}

HttpReply Run::Upstream::OnRequest(const HttpRequest& /*request*/,
                                   std::chrono::milliseconds /*held*/) {
  const std::string body = this->target.Health();
  if (body.empty()) {
    return {.kind = HttpReply::Kind::kHangUp};
  }
  return {.status = kOk, .body = body};
}

Run::Run(const Scenario& scenario, const RunOptions& options,
         std::ostream& actions)
    : scenario(scenario),
      options(options),
      plan(scenario.net),
      judge(this->scheduler),
      fabric(scenario.network, this->plan, options.direct, options.seed,
             this->scheduler, this->judge),
      callers(ShapeOf(scenario), options.seed, this->scheduler, this->judge,
              this->fabric),
      instances(this->scenario, this->plan, options.folder, actions,
                this->scheduler, this->platform, this->fabric),
      actions(actions) {
  this->fabric.Connect(this->callers);
  if (options.flood_flows > 0) {
    this->flood = std::make_unique<Flood>(this->plan.FloodSource(),
                                          scenario.services.front().address,
                                          options.flood_flows);
  }
  this->BuildConfiguration();
  this->PublishConfiguration();
}

void Run::BuildConfiguration() {
  this->configuration = {{"revision", 0},
                         {"fleet", this->scenario.fleet},
                         {"hash_seed", this->options.seed}};
  this->configuration["defaults"] = this->scenario.configuration.value(
      "defaults", nlohmann::ordered_json(nlohmann::json::object()));
  std::uint32_t id = 0;
  for (const ScenarioDomain& domain : this->scenario.domains) {
    const common::DomainId number{++id};
    this->configuration["domains"][domain.name] = {{"id", number.value},
                                                   {"region", domain.region}};
    if (!this->options.direct) {
      this->platform.Open(number, this->plan.Platform(number.value));
    }
  }
  id = 0;
  for (const ScenarioService& service : this->scenario.services) {
    this->configuration["services"][service.name] = {
        {"id", ++id}, {"address", service.address.ToString()}};
  }
  for (const ScenarioService& service : this->scenario.services) {
    for (std::uint32_t i = 0; i < service.targets; ++i) {
      this->AddTarget(service.name);
    }
  }
  this->configuration["exceptions"] = this->scenario.configuration.value(
      "exceptions", nlohmann::ordered_json(nlohmann::json::array()));
  const auto scope = this->configuration.value(
      "/defaults/fleet/fabric_scope"_json_pointer, std::string("fleet"));
  this->fabric.ConfineToDomain(scope == "domain");
}

void Run::AddTarget(const std::string& service) {
  const auto shape = std::find_if(this->scenario.services.begin(),
                                  this->scenario.services.end(),
                                  [&service](const ScenarioService& entry) {
                                    return entry.name == service;
                                  });
  if (shape == this->scenario.services.end()) {
    std::cerr << "no service " << service << '\n';
    return;
  }
  const auto service_id =
      static_cast<std::uint32_t>(shape - this->scenario.services.begin() + 1);
  const std::uint32_t id = this->next_target++;
  std::uint32_t number = 1;
  while (this->upstreams.contains(TargetName(service, number))) {
    ++number;
  }
  const std::string name = TargetName(service, number);
  const auto domains =
      static_cast<std::uint32_t>(this->scenario.domains.size());
  const common::DomainId domain{(number - 1) % domains + 1};
  const TargetShape target{.id = common::TargetId{id},
                           .service = common::ServiceId{service_id},
                           .address = shape->address,
                           .slots = shape->slots,
                           .connections = shape->connections,
                           .service_time = shape->service_time,
                           .answer_parts = shape->answer_parts,
                           .shed_at = shape->shed_at,
                           .cold_factor = shape->cold_factor,
                           .cold_time = shape->cold_time};
  auto upstream = std::make_unique<Upstream>(target, this->scheduler,
                                             this->judge, this->fabric);
  this->judge.TargetAdded(target.id, target.service, kWeight);
  if (this->loading) {
    this->judge.TargetUneven(target.id);
  }
  if (this->flood) {
    this->flood->AddTarget(this->plan.TargetTunnel(id));
  } else {
    this->fabric.AddTarget(upstream->target, domain);
  }
  if (!this->options.direct) {
    upstream->Listen(this->plan.TargetHealth(id));
  }
  this->configuration["targets"][name] = {
      {"id", id},
      {"service", service},
      {"domain", this->scenario.domains[domain.value - 1].name},
      {"tunnel", this->plan.TargetTunnel(id).ToString()},
      {"weight", kWeight},
      {"state", "serving"},
      {"slots", shape->slots},
      {"connections", shape->connections},
      {"health", this->plan.TargetHealth(id).ToString()}};
  this->upstreams.emplace(name, std::move(upstream));
}

void Run::PublishConfiguration() {
  const std::uint64_t revision = this->platform.Publish(
      core::DocumentKind::kConfiguration, this->configuration);
  if (this->loading) {
    this->changes.push_back({revision, this->scheduler.Now()});
  }
}

Report Run::Execute() {
  this->prepare.set<Run, &Run::OnPrepare>(this);
  this->prepare.start();
  this->timer.set<Run, &Run::OnTimer>(this);
  this->began = ev_time();
  if (this->options.direct) {
    this->StartLoad();
  } else {
    ::fcntl(STDIN_FILENO, F_SETFL, O_NONBLOCK);
    this->lines.set<Run, &Run::OnLine>(this);
    this->lines.start(STDIN_FILENO, ev::READ);
    this->instances.StartAll();
    this->PollMetrics();
    this->WaitUntilReady();
  }
  ev::get_default_loop().run();
  return this->MakeReport();
}

void Run::WaitUntilReady() {
  const auto answering = this->instances.Answering();
  const bool ready = std::all_of(
      answering.begin(), answering.end(), [this](common::InstanceId id) {
        const auto found = this->metrics.find(id);
        return found != this->metrics.end() &&
               found->second.configuration_revision > 0;
      });
  if (ready || this->scheduler.Now() > kReadyWithin) {
    if (!ready) {
      std::cerr << "some instances don't report a configuration\n";
    }
    this->scheduler.After(kAllBelieved, [this] { this->StartLoad(); });
    return;
  }
  this->scheduler.After(kPollEvery, [this] { this->WaitUntilReady(); });
}

void Run::StartLoad() {
  std::cerr << "load starts\n";
  this->loading = true;
  this->load_began = this->scheduler.Now();
  this->calls_at_start = this->platform.Calls();
  this->metrics_at_start = this->metrics;
  for (const ScenarioStep& step : this->scenario.timeline) {
    this->scheduler.After(step.at, [this, step] { this->Play(step); });
  }
  if (this->flood) {
    this->flood->Start(this->plan.Tunnel(1));
  } else {
    this->callers.Start();
  }
  this->scheduler.After(this->scenario.length, [this] { this->EndLoad(); });
}

void Run::EndLoad() {
  std::cerr << "load ends\n";
  this->load_ended = this->scheduler.Now();
  if (this->flood) {
    this->flood->Stop();
  }
  this->callers.Stop();
  this->Finish();
}

void Run::Finish() {
  const bool settled = this->callers.Open() == 0;
  if (!settled && this->scheduler.Now() < this->load_ended + kSettle) {
    this->scheduler.After(kPollEvery, [this] { this->Finish(); });
    return;
  }
  this->callers.Close();
  for (const auto& [id, metrics] : this->metrics) {
    const std::string name = "metrics-" + std::to_string(id.value) + ".txt";
    std::ofstream(this->options.folder / name) << metrics.text;
  }
  this->actions << "end" << std::endl;
  ev::get_default_loop().break_loop(ev::ALL);
}

void Run::PollMetrics() {
  for (const common::InstanceId id : this->instances.Answering()) {
    this->probe.Read(this->plan.Metrics(id.value),
                     [this, id](std::optional<InstanceMetrics> found) {
                       this->OnMetrics(id, found);
                     });
  }
  // Only while somebody waits for an answer often; else to keep up.
  const bool hurry = !this->loading || !this->changes.empty();
  this->scheduler.After(hurry ? kPollEvery : kPollSeldom,
                        [this] { this->PollMetrics(); });
}

void Run::OnMetrics(common::InstanceId id,
                    std::optional<InstanceMetrics> found) {
  if (found) {
    this->metrics[id] = *found;
    this->CheckChanges();
  }
}

void Run::CheckChanges() {
  std::uint64_t oldest = UINT64_MAX;
  for (const common::InstanceId id : this->instances.Answering()) {
    const auto found = this->metrics.find(id);
    oldest = std::min(oldest, found == this->metrics.end()
                                  ? 0
                                  : found->second.configuration_revision);
  }
  while (!this->changes.empty() && this->changes.front().revision <= oldest) {
    this->configuration_seconds.push_back(
        Seconds(this->scheduler.Now() - this->changes.front().published_at));
    this->changes.erase(this->changes.begin());
  }
}

void Run::Play(const ScenarioStep& step) {
  std::cerr << "at " << step.at.count() << " ms: " << step.subject << " "
            << step.path << '\n';
  if (const auto found = this->upstreams.find(step.subject);
      found != this->upstreams.end()) {
    this->PlayTargetStep(step, found->second->target);
    return;
  }
  switch (step.kind) {
    case StepKind::kAddTarget:
      this->AddTarget(step.subject);
      this->PublishConfiguration();
      break;
    case StepKind::kSet:
      this->SetConfiguration(step);
      break;
    case StepKind::kCut:
    case StepKind::kHeal:
      for (const common::DomainId domain : this->DomainsNamed(step.subject)) {
        step.kind == StepKind::kCut ? this->fabric.Cut(domain)
                                    : this->fabric.Heal(domain);
      }
      break;
    default:
      this->PlayPlatformStep(step);
      this->PlayInstanceStep(step);
  }
}

void Run::PlayTargetStep(const ScenarioStep& step, StandInTarget& target) {
  auto& entry = this->configuration["targets"][step.subject];
  switch (step.kind) {
    case StepKind::kDrain:
    case StepKind::kUndrain:
      entry["state"] = step.kind == StepKind::kDrain ? "draining" : "serving";
      if (step.kind == StepKind::kDrain) {
        this->judge.TargetDrained(target.Shape().id);
      } else {
        this->judge.TargetReturned(target.Shape().id);
      }
      this->PublishConfiguration();
      break;
    case StepKind::kRemoveTarget:
      this->configuration["targets"].erase(step.subject);
      this->PublishConfiguration();
      target.Fail();
      break;
    case StepKind::kFailTarget:
      target.Fail();
      break;
    case StepKind::kRestartTarget:
      target.Restart();
      break;
    case StepKind::kSilenceTarget:
      target.GoSilent();
      break;
    case StepKind::kLie:
      this->judge.TargetUneven(target.Shape().id);
      target.Report(step.value == "failing"  ? HealthReport::kAlwaysFailing
                    : step.value == "silent" ? HealthReport::kSilent
                    : step.value == "true"   ? HealthReport::kTrue
                                             : HealthReport::kAlwaysHealthy);
      break;
    default:
      std::cerr << "no such step for a target\n";
  }
}

void Run::PlayInstanceStep(const ScenarioStep& step) {
  std::uint32_t number = 0;
  std::istringstream(step.subject) >> number;
  const common::InstanceId id{number};
  switch (step.kind) {
    case StepKind::kReplace:
      this->instances.Replace(id);
      break;
    case StepKind::kStart:
      this->instances.Restart(id);
      break;
    case StepKind::kTerm:
      this->instances.Term(id);
      break;
    case StepKind::kKill:
      this->instances.Kill(id);
      break;
    case StepKind::kFreeze:
      this->instances.Freeze(id);
      break;
    case StepKind::kThaw:
      this->instances.Thaw(id);
      break;
    default:
      break;
  }
}

void Run::PlayPlatformStep(const ScenarioStep& step) {
  PlatformMode mode = PlatformMode::kUp;
  switch (step.kind) {
    case StepKind::kPlatformUp:
      break;
    case StepKind::kPlatformDown:
      mode = PlatformMode::kDown;
      break;
    case StepKind::kPlatformSlow:
      mode = PlatformMode::kSlow;
      break;
    case StepKind::kPlatformStale:
      mode = PlatformMode::kStale;
      break;
    case StepKind::kPlatformOlder:
      mode = PlatformMode::kOlder;
      break;
    default:
      return;
  }
  const std::chrono::milliseconds delay{
      step.value.is_number_integer() ? step.value.get<std::int64_t>() : 0};
  for (const common::DomainId domain : this->DomainsNamed(step.subject)) {
    this->platform.SetMode(domain, mode, delay);
  }
}

void Run::SetConfiguration(const ScenarioStep& step) {
  this->configuration[nlohmann::ordered_json::json_pointer(step.path)] =
      step.value;
  this->PublishConfiguration();
}

std::vector<common::DomainId> Run::DomainsNamed(const std::string& name) const {
  std::vector<common::DomainId> out;
  for (std::uint32_t i = 0; i < this->scenario.domains.size(); ++i) {
    if (name == "all" || name == this->scenario.domains[i].name) {
      out.push_back(common::DomainId{i + 1});
    }
  }
  return out;
}

void Run::CatchUp() {
  const double elapsed = (ev_time() - this->began) * kMicrosecondsPerSecond;
  this->scheduler.RunUntil(
      std::chrono::microseconds{static_cast<std::int64_t>(elapsed)});
}

void Run::OnPrepare(ev::prepare& /*watcher*/, int /*events*/) {
  this->CatchUp();
  if (const auto due = this->scheduler.NextDue()) {
    this->timer.stop();
    // libev counts from the time of the loop's last wake-up.
    ev_now_update(EV_DEFAULT_UC);
    this->timer.start(std::max(0.0, Seconds(*due) - (ev_time() - this->began)));
  }
}

void Run::OnTimer(ev::timer& /*watcher*/, int /*events*/) { this->CatchUp(); }

void Run::OnLine(ev::io& watcher, int /*events*/) {
  std::array<char, kLineBytes> buffer;
  const ssize_t count = ::read(STDIN_FILENO, buffer.data(), buffer.size());
  if (count == 0) {
    watcher.stop();
  }
  if (count <= 0) {
    return;
  }
  this->partial_line.append(buffer.data(), static_cast<std::size_t>(count));
  for (std::size_t end = this->partial_line.find('\n');
       end != std::string::npos; end = this->partial_line.find('\n')) {
    std::istringstream line(this->partial_line.substr(0, end));
    std::string word;
    std::uint32_t id = 0;
    int code = 0;
    if (line >> word >> id >> code && word == "exited") {
      this->instances.OnExited(common::InstanceId{id}, code);
    }
    this->partial_line.erase(0, end + 1);
  }
}

std::optional<double> Run::ControlBytesPerSecond() const {
  double sum = 0;
  std::size_t count = 0;
  for (const common::InstanceId id : this->instances.Answering()) {
    const auto before = this->metrics_at_start.find(id);
    const auto after = this->metrics.find(id);
    if (before != this->metrics_at_start.end() &&
        after != this->metrics.end()) {
      sum += after->second.control_bytes - before->second.control_bytes;
      ++count;
    }
  }
  if (count == 0) {
    return std::nullopt;
  }
  return sum / static_cast<double>(count) /
         Seconds(this->scheduler.Now() - this->load_began);
}

Report Run::MakeReport() const {
  Report report;
  report.scenario = this->scenario.name;
  report.fleet = this->scenario.fleet;
  report.seed = this->options.seed;
  report.load_seconds = Seconds(this->load_ended - this->load_began);
  report.tally = this->judge.Counts();
  report.fabric = this->fabric.Counts();
  std::uint32_t id = 0;
  for (const ScenarioService& service : this->scenario.services) {
    report.services.push_back(
        {service.name, this->judge.BalanceOf(common::ServiceId{++id})});
  }
  report.answer_median = this->judge.AnswerTime(kMedian);
  report.answer_p99 = this->judge.AnswerTime(kTail);
  report.configuration_seconds = this->configuration_seconds;
  report.configuration_unfinished = this->changes.size();
  report.control_bytes_per_second = this->ControlBytesPerSecond();
  report.platform_calls_per_second =
      static_cast<double>(this->platform.Calls() - this->calls_at_start) /
      Seconds(this->scheduler.Now() - this->load_began);
  report.crashes = this->instances.Crashes();
  report.faults = this->judge.Faults();
  if (this->flood) {
    report.flood = this->flood->Counts();
  }
  for (const auto& [id, metrics] : this->metrics) {
    const auto before = this->metrics_at_start.find(id);
    report.data_cpu += metrics.data_cpu;
    if (before != this->metrics_at_start.end()) {
      report.data_cpu -= before->second.data_cpu;
    }
  }
  return report;
}

}  // namespace sassafrasdyke::rig
