#include "front/shared_parts.h"

#include "front/locality_setting.h"

namespace sassafrasdyke::front {

SharedParts::SharedParts(const config::FrontSettings& settings,
                         const core::TargetTable& targets)
    : load(settings.load.share_load
               ? std::make_unique<LoadSharing>(settings.domain, targets)
               : nullptr),
      locality(MakeLocality(settings.load)),
      share_monitor(
          this->load && settings.load.locality != config::LocalityMode::kLocal
              ? std::make_unique<core::ShareMonitor>(settings.domain,
                                                     settings.load.leave_at,
                                                     targets, this->load->board)
              : nullptr),
      observations{this->Load(), core::NoSharedObservations().weights,
                   *this->locality, this->Observers(),
                   settings.load.fair_admission},
      exchanges(this->MakeExchanges()) {}

const core::FleetLoad& SharedParts::Load() const {
  return this->load ? this->load->board : core::NoSharedObservations().load;
}

std::vector<core::RequestObserver*> SharedParts::Observers() const {
  std::vector<core::RequestObserver*> observers;
  if (this->load) {
    observers.push_back(&this->load->meter);
  }
  return observers;
}

core::PeerSync::Observers SharedParts::MakeExchanges() const {
  core::PeerSync::Observers exchanges;
  if (this->load) {
    exchanges.push_back(&this->load->board);
  }
  return exchanges;
}

void SharedParts::OnTick(std::chrono::milliseconds now,
                         std::size_t domain_instances) {
  if (this->load) {
    this->load->board.OnTick(now, domain_instances);
  }
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
