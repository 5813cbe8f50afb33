#include "rig/instances.h"

#include <fstream>
#include <utility>

namespace sassafrasdyke::rig {
namespace {

constexpr const char* kLive = "live";
constexpr const char* kLeaving = "leaving";
constexpr const char* kUnlisted = "";

}  // namespace

Instances::Instances(const Scenario& scenario, const AddressPlan& plan,
                     std::filesystem::path folder, std::ostream& actions,
                     Scheduler& scheduler, Platform& platform, Fabric& fabric)
    : scenario(scenario),
      plan(plan),
      folder(std::move(folder)),
      actions(actions),
      scheduler(scheduler),
      platform(platform),
      fabric(fabric),
      relay(plan, scheduler, fabric) {}

void Instances::StartAll() {
  std::uint32_t domain = 0;
  for (const ScenarioDomain& entry : this->scenario.domains) {
    ++domain;
    for (std::uint32_t i = 0; i < entry.instances; ++i) {
      const common::InstanceId id = this->StartNew(common::DomainId{domain});
      this->places.at(id).published = kLive;
      this->fabric.Believe(id, true);
    }
  }
  this->Publish();
}

common::InstanceId Instances::StartNew(common::DomainId domain) {
  const common::InstanceId id{
      static_cast<std::uint32_t>(this->places.size() + 1)};
  this->places[id].domain = domain;
  this->Launch(id);
  return id;
}

void Instances::Restart(common::InstanceId id) {
  if (!this->places.contains(id) ||
      this->places.at(id).state != ProcessState::kEnded) {
    return;
  }
  ++this->places.at(id).incarnation;
  this->Launch(id);
}

void Instances::Launch(common::InstanceId id) {
  Place& place = this->places.at(id);
  place.state = ProcessState::kRunning;
  this->fabric.AddInstance(id, place.domain);
  if (this->scenario.network.relay) {
    this->relay.AddInstance(id, place.domain);
  }
  const std::filesystem::path file =
      this->folder / ("instance-" + std::to_string(id.value) + ".json");
  this->WriteSettings(id, file);
  this->actions << "start " << id << ' ' << file.string() << std::endl;
  this->PublishAs(id, kLive);
  this->BelieveLater(id, true);
}

void Instances::Replace(common::InstanceId id) {
  if (this->places.contains(id)) {
    this->StartNew(this->places.at(id).domain);
    this->Term(id);
  }
}

void Instances::Term(common::InstanceId id) {
  if (!this->places.contains(id) ||
      this->places.at(id).state == ProcessState::kEnded) {
    return;
  }
  this->places.at(id).state = ProcessState::kLeaving;
  this->Say("term", id);
  this->PublishAs(id, kLeaving);
  this->BelieveLater(id, false);
}

void Instances::Kill(common::InstanceId id) {
  if (!this->places.contains(id) ||
      this->places.at(id).state == ProcessState::kEnded) {
    return;
  }
  this->places.at(id).state = ProcessState::kEnded;
  this->Say("kill", id);
  this->fabric.SetRunning(id, false);
  this->PublishAs(id, kUnlisted);
  this->BelieveLater(id, false);
}

void Instances::Freeze(common::InstanceId id) {
  if (!this->places.contains(id) ||
      this->places.at(id).state != ProcessState::kRunning) {
    return;
  }
  this->places.at(id).state = ProcessState::kFrozen;
  this->Say("freeze", id);
  this->fabric.SetRunning(id, false);
  this->BelieveLater(id, false);
}

void Instances::Thaw(common::InstanceId id) {
  if (!this->places.contains(id) ||
      this->places.at(id).state != ProcessState::kFrozen) {
    return;
  }
  this->places.at(id).state = ProcessState::kRunning;
  this->Say("thaw", id);
  this->fabric.SetRunning(id, true);
  this->BelieveLater(id, true);
}

void Instances::OnExited(common::InstanceId id, int code) {
  const auto found = this->places.find(id);
  if (found == this->places.end() ||
      found->second.state == ProcessState::kEnded) {
    return;
  }
  if (found->second.state != ProcessState::kLeaving || code != 0) {
    ++this->crashes;
  }
  found->second.state = ProcessState::kEnded;
  this->PublishAs(id, kUnlisted);
  this->BelieveLater(id, false);
}

std::vector<common::InstanceId> Instances::Answering() const {
  std::vector<common::InstanceId> out;
  for (const auto& [id, place] : this->places) {
    if (place.state == ProcessState::kRunning) {
      out.push_back(id);
    }
  }
  return out;
}

void Instances::PublishAs(common::InstanceId id, const std::string& state) {
  this->scheduler.After(this->scenario.network.list_lag, [this, id, state] {
    if (std::exchange(this->places.at(id).published, state) != state) {
      this->Publish();
    }
  });
}

void Instances::Publish() {
  nlohmann::ordered_json list = nlohmann::ordered_json::object();
  for (const auto& [id, place] : this->places) {
    if (place.published == kUnlisted) {
      continue;
    }
    const bool relay = this->scenario.network.relay;
    const common::Endpoint tunnel = relay ? this->plan.RelayedTunnel(id.value)
                                          : this->plan.Tunnel(id.value);
    const common::Endpoint control = relay ? this->plan.RelayedControl(id.value)
                                           : this->plan.Control(id.value);
    list["a" + std::to_string(id.value)] = {{"id", id.value},
                                            {"domain", place.domain.value},
                                            {"incarnation", place.incarnation},
                                            {"tunnel", tunnel.ToString()},
                                            {"control", control.ToString()},
                                            {"state", place.published}};
  }
  this->platform.Publish(core::DocumentKind::kInstances, {{"instances", list}});
}

void Instances::BelieveLater(common::InstanceId id, bool alive) {
  // The newest change wins, however the lags fall.
  const ProcessState state = this->places.at(id).state;
  this->scheduler.After(this->scenario.network.fabric_lag,
                        [this, id, alive, state] {
                          if (this->places.at(id).state == state) {
                            this->fabric.Believe(id, alive);
                          }
                        });
}

void Instances::Say(const std::string& verb, common::InstanceId id) {
  this->actions << verb << ' ' << id << std::endl;
}

void Instances::WriteSettings(common::InstanceId id,
                              const std::filesystem::path& file) {
  const common::DomainId domain = this->places.at(id).domain;
  const nlohmann::ordered_json settings = {
      {"instance", id.value},
      {"domain", domain.value},
      {"tunnel", {{"listen", this->plan.Tunnel(id.value).ToString()}}},
      {"control", {{"listen", this->plan.Control(id.value).ToString()}}},
      {"metrics", {{"listen", this->plan.Metrics(id.value).ToString()}}},
      {"platform",
       {{"url", "http://" + this->plan.Platform(domain.value).ToString()}}},
      {"fabric", {{"return", this->plan.FabricReturn().ToString()}}},
      {"log", {{"level", "info"}, {"file", ""}}}};
  std::ofstream(file) << settings.dump(2) << '\n';
}

}  // namespace sassafrasdyke::rig
