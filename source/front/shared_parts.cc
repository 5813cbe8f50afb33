#include "front/shared_parts.h"

#include "front/locality_setting.h"

namespace sassafrasdyke::front {

SharedParts::SharedParts(const config::FrontSettings& settings,
                         const core::TargetTable& targets, std::uint64_t seed)
    : load(settings.load.share_load
               ? std::make_unique<LoadSharing>(settings.domain, targets)
               : nullptr),
      health(this->load && settings.load.eject_targets
                 ? std::make_unique<HealthSharing>(settings, targets,
                                                   this->Load(), seed)
                 : nullptr),
      locality(MakeLocality(settings.load)),
      share_monitor(
          this->load && settings.load.locality != config::LocalityMode::kLocal
              ? std::make_unique<core::ShareMonitor>(settings.domain,
                                                     settings.load.leave_at,
                                                     targets, this->load->board)
              : nullptr),
      observations{this->Load(), this->Weights(), *this->locality,
                   this->Observers(), settings.load.fair_admission},
      exchanges(this->MakeExchanges()) {}

const core::FleetLoad& SharedParts::Load() const {
  return this->load ? this->load->board : core::NoSharedObservations().load;
}

const core::TargetWeights& SharedParts::Weights() const {
  return this->health ? this->health->detector
                      : core::NoSharedObservations().weights;
}

std::vector<core::RequestObserver*> SharedParts::Observers() const {
  std::vector<core::RequestObserver*> observers;
  if (this->load) {
    observers.push_back(&this->load->meter);
  }
  if (this->health) {
    observers.push_back(&this->health->observations);
  }
  return observers;
}

core::PeerSync::Observers SharedParts::MakeExchanges() const {
  core::PeerSync::Observers exchanges;
  if (this->load) {
    exchanges.push_back(&this->load->board);
  }
  if (this->health) {
    exchanges.push_back(&this->health->detector);
  }
  return exchanges;
}

void SharedParts::OnTick(core::TargetWatch& watch, std::size_t domain_instances,
                         std::chrono::milliseconds now) {
  if (this->load) {
    this->load->board.OnTick(now, domain_instances);
  }
  if (this->health) {
    this->health->detector.OnTick(watch, now);
  }
}

void SharedParts::OnPause(std::chrono::milliseconds length,
                          std::chrono::milliseconds now) {
  if (this->load) {
    this->load->board.OnPause(length, now);
  }
  if (this->health) {
    this->health->detector.OnPause(length, now);
  }
}

std::vector<core::HealthChange> SharedParts::TakeHealthChanges() {
  return this->health ? this->health->detector.TakeChanges()
                      : std::vector<core::HealthChange>{};
}

std::optional<core::UrgentReceivers> SharedParts::TakeUrgent() {
  return this->health ? this->health->detector.TakeUrgent() : std::nullopt;
}

std::map<std::string_view, std::size_t> SharedParts::TargetsByHealth() const {
  return this->health ? this->health->detector.CountByState()
                      : std::map<std::string_view, std::size_t>{};
}

std::vector<core::DomainLoad> SharedParts::TakeReachabilityChanges() {
  return this->load ? this->load->board.TakeChanges()
                    : std::vector<core::DomainLoad>{};
}

std::vector<core::ShareChange> SharedParts::TakeShareChanges() {
  return this->share_monitor ? this->share_monitor->OnTick()
                             : std::vector<core::ShareChange>{};
}

std::vector<core::DomainLoad> SharedParts::DomainLoads() const {
  return this->load ? this->load->board.Totals()
                    : std::vector<core::DomainLoad>{};
}

std::uint64_t SharedParts::InvalidReports() const {
  return this->load ? this->load->board.InvalidReports() : 0;
}

}  // namespace sassafrasdyke::front
