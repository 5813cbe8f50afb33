#include "rig/run.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <iostream>
#include <sstream>

namespace sassafrasdyke::rig {
namespace {

constexpr std::chrono::milliseconds kCheckEvery{100};
/// Instances must have both documents after this time.
constexpr std::chrono::seconds kReadyWithin{10};
/// Then they find each other: streams that were refused while the other side
/// had no instance list are tried again after a back-off.
constexpr std::chrono::seconds kAllBelieved{3};
/// Open requests may end within this time after the load.
constexpr std::chrono::seconds kSettle{8};
constexpr std::size_t kLineBytes = 512;
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
  return std::chrono::duration<double>(time).count();
}

/// Naive balancers have no streams to relay.
Scenario Fitting(Scenario scenario, const RunOptions& options) {
  scenario.network.relay = scenario.network.relay && !options.naive;
  return scenario;
}

std::unique_ptr<Flood> MakeFlood(const Scenario& scenario,
                                 const RunOptions& options,
                                 const AddressPlan& plan) {
  if (options.flood_flows == 0) {
    return nullptr;
  }
  return std::make_unique<Flood>(plan.FloodSource(),
                                 scenario.services.front().address,
                                 options.flood_flows);
}

}  // namespace

Run::Run(const Scenario& scenario, const RunOptions& options,
         std::ostream& actions)
    : scenario(Fitting(scenario, options)),
      options(options),
      plan(scenario.net),
      loop(this->scheduler),
      judge(this->scheduler),
      naive(options.naive ? std::make_unique<NaiveBalancers>() : nullptr),
      fabric(this->scenario.network, this->plan, this->naive.get(),
             options.seed, this->scheduler, this->judge),
      callers(ShapeOf(scenario), options.seed, this->scheduler, this->judge,
              this->fabric),
      instances(this->scenario, this->plan, options.folder,
                options.naive ? this->nowhere : actions, this->scheduler,
                this->platform, this->fabric),
      flood(MakeFlood(scenario, options, this->plan)),
      deployment(this->scenario, this->plan, this->naive.get(),
                 this->flood.get(), this->scheduler, this->judge,
                 this->platform, this->fabric),
      watch(this->plan, this->instances, this->scheduler),
      timeline({this->deployment, this->instances, this->platform, this->fabric,
                this->judge}),
      actions(actions) {
  this->fabric.Connect(this->callers);
  this->deployment.Listen(
      [this](std::uint64_t revision) { this->watch.OnPublished(revision); });
  this->deployment.Build(options.seed);
}

Report Run::Execute() {
  this->instances.StartAll();
  if (this->options.naive) {
    this->StartLoad();
  } else {
    ::fcntl(STDIN_FILENO, F_SETFL, O_NONBLOCK);
    this->lines.set<Run, &Run::OnLine>(this);
    this->lines.start(STDIN_FILENO, ev::READ);
    this->watch.Start();
    this->WaitUntilReady();
  }
  this->loop.Run();
  return this->MakeReport();
}

void Run::WaitUntilReady() {
  const bool ready = this->watch.AllReady();
  if (!ready && this->scheduler.Now() < kReadyWithin) {
    this->scheduler.After(kCheckEvery, [this] { this->WaitUntilReady(); });
    return;
  }
  if (!ready) {
    std::cerr << "some instances don't report a configuration\n";
  }
  this->scheduler.After(kAllBelieved, [this] { this->StartLoad(); });
}

void Run::StartLoad() {
  // Faults are dated from the start of the run, steps from here.
  std::cerr << "load starts at "
            << this->scheduler.Now() / std::chrono::milliseconds{1} << " ms\n";
  this->load_began = this->scheduler.Now();
  this->calls_at_start = this->platform.Calls();
  this->watch.BeginLoad();
  for (const ScenarioStep& step : this->scenario.timeline) {
    this->scheduler.After(step.at, [this, step] { this->timeline.Play(step); });
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
    this->scheduler.After(kCheckEvery, [this] { this->Finish(); });
    return;
  }
  this->callers.Close();
  this->watch.Save(this->options.folder);
  this->actions << "end" << std::endl;
  this->loop.Stop();
}

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
  report.configuration_seconds = this->watch.ChangeSeconds();
  report.configuration_unfinished = this->watch.Unfinished();
  report.control_bytes_per_second = this->watch.ControlBytesPerSecond();
  report.platform_calls_per_second =
      static_cast<double>(this->platform.Calls() - this->calls_at_start) /
      Seconds(this->scheduler.Now() - this->load_began);
  report.crashes = this->instances.Crashes();
  report.faults = this->judge.Faults();
  if (this->flood) {
    report.flood = this->flood->Counts();
  }
  report.data_cpu = this->watch.DataCpu();
  return report;
}

}  // namespace sassafrasdyke::rig
