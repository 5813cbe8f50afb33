#include "front/front_process.h"

#include <ev++.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "common/hash.h"
#include "core/roster/peer_sync.h"
#include "core/view/live_view.h"
#include "front/flow_port.h"
#include "front/front_log.h"
#include "front/front_metrics.h"
#include "front/line_log.h"
#include "front/pause_detector.h"
#include "front/peer_exchange.h"
#include "front/reload_signal.h"
#include "front/shared_parts.h"
#include "front/status_handlers.h"
#include "front/stop_watch.h"
#include "front/store_reader.h"
#include "http/server.h"

namespace sassafrasdyke::front {
namespace {

using std::chrono::milliseconds;

/// How often timers of the core run.
constexpr milliseconds kTick{100};

/// How often the settings' file is looked at: one call each.
constexpr milliseconds kSettingsCheck{2000};

/// Time between two lines about a view that stays too old.
constexpr milliseconds kLateViewInterval{1000};

ev::tstamp Seconds(milliseconds time) {
  return std::chrono::duration<double>(time).count();
}

/// Monotonic, and goes on while the machine is suspended.
milliseconds BootTime() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

/// Varies what instances would else do at the same moment.
std::uint64_t SeedOf(const config::FrontSettings& settings) {
  return common::HashBytes(settings.instance.data(), settings.instance.size(),
                           static_cast<std::uint64_t>(BootTime().count()));
}

/// The seeds at the port where peers listen, which is the same everywhere.
std::vector<common::Endpoint> PeersOf(const config::FrontSettings& settings) {
  std::vector<common::Endpoint> peers;
  for (const common::Endpoint& seed : settings.seeds) {
    peers.push_back({seed.address, settings.listen.peers.port});
  }
  return peers;
}

core::PropagationScale PaceOf(const config::FrontSettings& settings) {
  return core::PropagationScale(std::min(
      {settings.times.apply, settings.times.drain, settings.times.evacuate}));
}

/// The whole instance.
class FrontProcess final : private StoreListener,
                           private ExchangeListener,
                           private PauseListener,
                           private ProcessClock {
 public:
  FrontProcess(const config::FrontSettings& settings,
               const FrontAdapter& adapter)
      : settings(settings),
        adapter(adapter),
        started_at(BootTime()),
        pauses(*this),
        lines(this->loop, STDOUT_FILENO,
              {{"instance", settings.instance}, {"domain", settings.domain}}),
        log(this->lines),
        view(adapter.publication, settings.times.flow_life),
        shared(settings, this->view.Targets(), SeedOf(settings)),
        stop(settings.times.grace),
        sync({settings.listen.peers, settings.domain}, PeersOf(settings),
             this->view, core::SyncLimitsFor(PaceOf(settings)),
             SeedOf(settings), this->shared.Exchanges()),
        reader(this->loop, settings.store, adapter.publication,
               StoreLimitsFor(PaceOf(settings)), SeedOf(settings), *this),
        readiness([this] { return this->Ready(); }),
        metrics_handler([this] { return this->metrics.Text(this->State()); }),
        tick(this->loop),
        first_reading_check(this->loop),
        term(this->loop),
        hup(this->loop) {}

  tl::expected<void, std::string> Run();

 private:
  milliseconds Now() const override { return BootTime() - this->started_at; }
  void OnPause(milliseconds length, milliseconds now) override {
    this->view.Contact().OnPause(length, now);
  }
  bool Ready() const { return this->was_ready && !this->stop.Stopping(); }

  FrontState State() const;
  tl::expected<void, std::string> Open();
  void OnTick(ev::timer& watcher, int events);
  void TickSharedParts(milliseconds now);
  void OnFirstReadingCheck(ev::timer& watcher, int events);
  void OnTerm(ev::sig& watcher, int signal);
  void OnHup(ev::sig& watcher, int signal);
  void ReadSettingsAgain();
  void LogViewChanges(const ChangeOrigin& origin);
  /// Writes what an instance whose view is too old waits for, once a second.
  void LogLateView(milliseconds now);
  /// Starts or stops the own reading of the store, as the exchange decides.
  void ChooseReading();

  void OnPeerItems(const common::Endpoint& peer, bool copy,
                   std::optional<milliseconds> unconfirmed) override;
  void OnPull(const common::Endpoint& peer, std::string_view what,
              bool differs) override;

  void OnStoreListing(std::vector<core::Item> items, common::Revision at,
                      milliseconds age) override;
  void OnStoreChanges(core::ChangeBatch batch, milliseconds age) override;
  void OnStoreFailure(std::string_view what) override;
  void OnStoreListsAnew(std::string_view why) override;
  void OnStoreAnswer(milliseconds age);

  const config::FrontSettings& settings;
  const FrontAdapter& adapter;
  const milliseconds started_at;
  PauseDetector pauses;
  ev::default_loop loop;
  LineLog lines;
  FrontLog log;
  core::LiveView view;
  SharedParts shared;
  StopWatch stop;
  core::PeerSync sync;
  StoreReader reader;
  std::unique_ptr<PeerExchange> exchange;
  ReadinessHandler readiness;
  std::unique_ptr<http::Server> readiness_server;
  FrontMetrics metrics;
  MetricsHandler metrics_handler;
  std::unique_ptr<http::Server> metrics_server;
  std::unique_ptr<FlowPort> flows;
  ev::timer tick;
  ev::timer first_reading_check;
  ev::sig term;
  ev::sig hup;
  milliseconds settings_checked_at{0};
  milliseconds late_view_logged_at{0};
  bool was_usable{false};
  bool was_ready{false};
  /// Whether the last call of the store succeeded; empty before the first
  /// result.
  std::optional<bool> store_answered;
  bool reading{false};
};

FrontState FrontProcess::State() const {
  FrontState state;
  state.port = this->flows->Counts();
  state.store = this->reader.Counts();
  state.exchange = this->exchange->Counts();
  state.lines_written = this->lines.Written();
  state.lines_left_out = this->lines.LeftOut();
  state.configuration = this->view.Routes().Version();
  state.revision = this->view.Items().Complete().value;
  state.view_age = this->view.Contact().Age(this->Now());
  state.targets_serving = this->view.Targets().ServingCount();
  state.evacuated_domains = this->view.Targets().EvacuatedDomainCount();
  state.targets_by_health = this->shared.TargetsByHealth();
  state.targets_cold = this->view.Targets().ColdCount(this->Now());
  state.routes = this->view.Routes().Size();
  for (core::DomainLoad& load : this->shared.DomainLoads()) {
    const std::uint64_t slots = this->view.Targets().SlotsIn(load.domain);
    state.domain_loads.push_back({std::move(load), slots});
  }
  state.invalid_load_reports = this->shared.InvalidReports();
  state.members = this->sync.Members().Size();
  state.openings = this->flows->Steering().HalfOpenFlows();
  state.openings_waiting = this->flows->OpeningsWaiting();
  state.openings_waiting_by_rank = this->flows->OpeningsWaitingByRank();
  state.openings_refused_by_rank = this->flows->OpeningsRefusedByRank();
  state.remembered_flows = this->flows->Steering().RememberedFlows();
  state.reads_store = this->reading;
  state.ready = this->Ready();
  return state;
}

tl::expected<void, std::string> FrontProcess::Open() {
  this->pauses.Add(*this);
  this->pauses.Add(this->shared);
  auto flows = FlowPort::Open(
      this->loop, this->settings.listen.packets,
      {this->settings.domain,
       {this->settings.warmup_excess, this->settings.warmup_slack},
       SeedOf(this->settings),
       this->shared.Observations()},
      {this->adapter.packets, this->view, *this, this->log, this->metrics,
       this->pauses});
  if (!flows) {
    return tl::unexpected(flows.error());
  }
  this->flows = std::move(*flows);
  auto server = http::Server::Open(this->loop, this->settings.listen.readiness,
                                   this->readiness);
  if (!server) {
    return tl::unexpected(server.error());
  }
  this->readiness_server = std::move(*server);
  auto scraped = http::Server::Open(this->loop, this->settings.listen.metrics,
                                    this->metrics_handler);
  if (!scraped) {
    return tl::unexpected(scraped.error());
  }
  this->metrics_server = std::move(*scraped);
  auto exchange =
      PeerExchange::Open(this->loop, this->settings.listen.peers, this->sync,
                         this->view, *this, this->pauses, *this);
  if (!exchange) {
    return tl::unexpected(exchange.error());
  }
  this->exchange = std::move(*exchange);
  return {};
}

tl::expected<void, std::string> FrontProcess::Run() {
  if (auto opened = this->Open(); !opened) {
    return opened;
  }
  this->view.SetRegions(core::RegionMap(this->settings.regions));
  this->log.OnNote("started", {{"version", SASSAFRASDYKE_VERSION}},
                   this->Now());
  this->ChooseReading();
  this->exchange->Act(this->sync.OnStart(this->Now()));
  this->tick.set<FrontProcess, &FrontProcess::OnTick>(this);
  this->tick.start(Seconds(kTick), Seconds(kTick));
  this->first_reading_check
      .set<FrontProcess, &FrontProcess::OnFirstReadingCheck>(this);
  // A tick would come too late for a probe, and delay the first view.
  this->first_reading_check.start(
      Seconds(core::SyncLimitsFor(PaceOf(this->settings)).probe_after));
  this->term.set<FrontProcess, &FrontProcess::OnTerm>(this);
  this->term.start(SIGTERM);
  this->hup.set<FrontProcess, &FrontProcess::OnHup>(this);
  this->hup.start(SIGHUP);
  UnblockReloadSignal();
  this->loop.run(0);
  return {};
}

void FrontProcess::OnTick(ev::timer& /*watcher*/, int /*events*/) {
  this->pauses.OnWake();
  const milliseconds now = this->Now();
  this->view.OnTick(now);
  this->LogViewChanges({ChangeWay::kTimer, std::nullopt, std::nullopt});
  this->LogLateView(now);
  // Before the flows, which start the probes that it requests.
  this->TickSharedParts(now);
  this->flows->OnTick(this->sync.Members().EstimatedFleetSize());
  this->stop.OnPacket(this->flows->LastPacket());
  this->exchange->Act(this->sync.OnTick(now));
  // The platform may write the file anew without a signal.
  if (now - this->settings_checked_at >= kSettingsCheck) {
    this->settings_checked_at = now;
    if (this->adapter.settings_changed()) {
      this->ReadSettingsAgain();
    }
  }
  this->ChooseReading();
  if (const auto end = this->stop.Ends(now)) {
    this->log.OnNote("stopped", {{"why", Word(*end)}}, now);
    this->loop.break_loop(ev::ALL);
  }
  this->lines.OnTick(now);
}

void FrontProcess::TickSharedParts(milliseconds now) {
  this->shared.OnTick(this->flows->Watch(),
                      this->sync.Members().DomainMembers(now), now);
  for (const core::HealthChange& change : this->shared.TakeHealthChanges()) {
    if (this->view.Targets().Has(change.target)) {
      this->log.OnHealthChange(this->view.Targets().At(change.target).name,
                               change, now);
    }
  }
  if (const auto audience = this->shared.TakeUrgent()) {
    this->exchange->Act(this->sync.SendObservations(*audience, now));
  }
  for (const core::DomainLoad& load : this->shared.TakeReachabilityChanges()) {
    this->log.OnReachability(load, this->view.Targets().SlotsIn(load.domain),
                             now);
  }
  for (const core::ShareChange& change : this->shared.TakeShareChanges()) {
    this->log.OnShareChange(change, now);
  }
}

void FrontProcess::OnFirstReadingCheck(ev::timer& /*watcher*/, int /*events*/) {
  this->ChooseReading();
}

void FrontProcess::OnTerm(ev::sig& /*watcher*/, int /*signal*/) {
  const milliseconds now = this->Now();
  this->stop.OnStop(now);
  this->sync.OnLeave();
  this->log.OnNote("stopping", {}, now);
}

void FrontProcess::OnHup(ev::sig& /*watcher*/, int /*signal*/) {
  this->ReadSettingsAgain();
}

void FrontProcess::ReadSettingsAgain() {
  const auto read = this->adapter.read_settings();
  if (!read) {
    this->log.OnNote("settings-refused",
                     {{"path", read.error().front().path},
                      {"why", read.error().front().what}},
                     this->Now());
    return;
  }
  this->reader.SetStore(read->store);
  this->view.SetRegions(core::RegionMap(read->regions));
  this->sync.SetSeeds(PeersOf(*read));
  this->log.OnNote("settings-read", {{"store", read->store.ToString()}},
                   this->Now());
}

void FrontProcess::OnStoreListing(std::vector<core::Item> items,
                                  common::Revision at, milliseconds age) {
  this->pauses.OnWake();
  const auto unconfirmed = this->view.Contact().Age(this->Now());
  this->OnStoreAnswer(age);
  this->log.OnNote("listed", {{"items", items.size()}, {"revision", at.value}},
                   this->Now());
  const common::Revision before = this->view.Items().Complete();
  const auto started = std::chrono::steady_clock::now();
  this->view.OnListing(std::move(items), at, this->Now());
  this->metrics.OnApplied(std::chrono::steady_clock::now() - started);
  this->LogViewChanges({ChangeWay::kListing, std::nullopt, unconfirmed});
  this->exchange->Act(this->sync.OnStoreRead(before, this->Now()));
}

void FrontProcess::OnStoreChanges(core::ChangeBatch batch, milliseconds age) {
  this->pauses.OnWake();
  const auto unconfirmed = this->view.Contact().Age(this->Now());
  this->OnStoreAnswer(age);
  const common::Revision before = this->view.Items().Complete();
  const auto started = std::chrono::steady_clock::now();
  this->view.OnChanges(std::move(batch), this->Now());
  this->metrics.OnApplied(std::chrono::steady_clock::now() - started);
  this->LogViewChanges({ChangeWay::kWatch, std::nullopt, unconfirmed});
  this->exchange->Act(this->sync.OnStoreRead(before, this->Now()));
}

void FrontProcess::OnStoreAnswer(milliseconds age) {
  const milliseconds now = this->Now();
  this->view.Contact().OnAnswer(now, age);
  if (!this->reading) {
    // The last call of a reading that ended.
    this->view.Contact().OnReadingStopped();
  }
  if (std::exchange(this->store_answered, true) != true) {
    this->log.OnNote("store-regained", {}, now);
  }
}

void FrontProcess::OnStoreListsAnew(std::string_view why) {
  this->log.OnNote(
      "lists-anew",
      {{"why", why}, {"revision", this->view.Items().Complete().value}},
      this->Now());
}

void FrontProcess::OnStoreFailure(std::string_view what) {
  if (!this->reading) {
    return;  // The last call of a reading that ended says nothing new.
  }
  this->view.Contact().OnFailure();
  this->sync.OnStoreFailure(this->Now());
  if (std::exchange(this->store_answered, false) != false) {
    this->log.OnNote("store-lost", {{"why", what}}, this->Now());
  }
  this->ChooseReading();
}

void FrontProcess::ChooseReading() {
  const core::StoreReading wanted = this->sync.Reading(this->Now());
  const bool reads = wanted != core::StoreReading::kNone;
  if (reads == this->reading) {
    this->reader.SetReading(wanted);
    return;
  }
  this->reading = reads;
  if (reads) {
    this->reader.HasRevision(this->view.Items().Complete());
  } else {
    this->view.Contact().OnReadingStopped();
  }
  this->reader.SetReading(wanted);
  LineFields fields{{"members", this->sync.Members().Size()},
                    {"revision", this->view.Items().Complete().value}};
  if (reads) {
    fields["why"] = core::Word(wanted);
  }
  this->log.OnNote(reads ? "reads-store" : "follows-readers", fields,
                   this->Now());
}

void FrontProcess::OnPeerItems(const common::Endpoint& peer, bool copy,
                               std::optional<milliseconds> unconfirmed) {
  const bool had_view = this->was_usable;
  this->LogViewChanges(
      {copy ? ChangeWay::kCopy : ChangeWay::kDigest, peer, unconfirmed});
  if (had_view) {
    return;
  }
  if (this->was_usable) {
    this->reader.HasRevision(this->view.Items().Complete());
  }
  this->ChooseReading();  // Digests affect who lists the store.
}

void FrontProcess::OnPull(const common::Endpoint& peer, std::string_view what,
                          bool differs) {
  this->lines.Write(LineKind::kPeer, "copy",
                    {{"peer", peer.ToString()},
                     {"outcome", what},
                     {"why", differs ? "differs" : "behind"},
                     {"revision", this->view.Items().Complete().value}},
                    this->Now());
}

void FrontProcess::LogLateView(milliseconds now) {
  const auto late = this->sync.Late(now);
  if (!late || now - this->late_view_logged_at < kLateViewInterval) {
    return;
  }
  this->late_view_logged_at = now;
  this->log.OnLateView(*late, this->view.Items().Complete(), now);
}

void FrontProcess::LogViewChanges(const ChangeOrigin& origin) {
  const milliseconds now = this->Now();
  const DecisionInputs inputs{.revision = this->view.Items().Complete(),
                              .view_age = this->view.Contact().Age(now)};
  const std::vector<core::ViewChange> changes = this->view.TakeChanges();
  if (!changes.empty() && origin.unconfirmed) {
    this->metrics.OnChangesTaken(*origin.unconfirmed);
  }
  for (const core::ViewChange& change : changes) {
    this->log.OnViewChange(change, origin, inputs, now);
    if (const auto* target = std::get_if<core::TargetChange>(&change)) {
      this->flows->OnTargetChange(*target);
    }
  }
  // Seen from an instance that starts just after the store's return, targets
  // are missing that will register again; the routers shall prefer those that
  // have known them all along.
  this->was_ready = this->was_ready || (this->view.Usable() &&
                                        !this->view.Contact().LapseLikely(now));
  if (this->view.Usable() && !std::exchange(this->was_usable, true)) {
    this->log.OnNote("ready",
                     {{"configuration", this->view.Routes().Version()},
                      {"targets", this->view.Targets().ServingCount()},
                      {"early_packets", this->flows->EarlyPacketCount()}},
                     now);
    this->flows->TakeEarlyPackets();
  }
}

}  // namespace

tl::expected<void, std::string> RunFront(const config::FrontSettings& settings,
                                         const FrontAdapter& adapter) {
  FrontProcess process(settings, adapter);
  return process.Run();
}

}  // namespace sassafrasdyke::front
