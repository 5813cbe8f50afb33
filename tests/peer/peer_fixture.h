/// Instances with streams between them, all on one loop.
#pragma once

#include <ev++.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config/settings.h"
#include "core/configuration.h"
#include "peer/peer_links.h"
#include "support/run_loop.h"

namespace sassafrasdyke::peer {

/// Remembers what its instance was told.
class Recorder final : public PeerListener {
 public:
  void OnPeerMessage(common::InstanceId from,
                     const core::PeerMessage& message) override {
    this->messages.emplace_back(from, message);
    if (this->on_message) {
      this->on_message();
    }
  }
  void OnPeerLink(common::InstanceId /*to*/, bool up) override {
    ++(up ? this->ups : this->downs);
  }
  void OnPeerCut(common::InstanceId /*peer*/, const common::IpAddress& /*from*/,
                 CutReason reason) override {
    this->cuts.push_back(reason);
  }

  std::vector<std::pair<common::InstanceId, core::PeerMessage>> messages;
  std::vector<CutReason> cuts;
  std::function<void()> on_message;
  int ups{0};
  int downs{0};
};

/// One instance with its streams.
struct TestInstance {
  Recorder recorder;
  std::unique_ptr<PeerLinks> links;
  common::Endpoint control;
};

/// A few instances that know each other.
class PeerFixture {
 public:
  static constexpr const char* kFleet = "lensmoor";

  /// Opens instance `id` at 127.0.1.ID; port 0 lets the system pick one.
  TestInstance& Open(std::uint32_t id, std::uint16_t port = 0) {
    config::ControlSettings settings;
    settings.listen = {
        common::IpAddress::Parse("127.0.1." + std::to_string(id)).value(),
        port};
    settings.tls = this->tls;
    auto instance = std::make_unique<TestInstance>();
    instance->links =
        std::move(PeerLinks::Open(this->loop,
                                  {{id}, {this->incarnation}, this->versions},
                                  settings, this->limits, id,
                                  instance->recorder, *this->clock))
            .value();
    instance->control = instance->links->Listening();
    this->instances.push_back(std::move(instance));
    return *this->instances.back();
  }

  /// A list of the given instances, with ids by their addresses.
  static core::InstanceList ListOf(const std::vector<TestInstance*>& listed) {
    core::InstanceList list;
    list.revision = {1};
    std::uint32_t id = 0;
    for (const TestInstance* instance : listed) {
      core::Instance entry;
      entry.id = {++id};
      entry.domain = {1};
      entry.incarnation = {1};
      entry.control = instance->control;
      list.instances.push_back(entry);
    }
    return list;
  }

  bool RunUntil(const std::function<bool()>& done) {
    return tests::RunUntil(this->loop, done);
  }

  PeerLimits limits;
  const PeerClock* clock{&SteadyPeerClock::Shared()};
  std::optional<config::TlsSettings> tls;
  std::uint64_t incarnation{1};
  VersionRange versions{kSpokenVersions};
  ev::dynamic_loop loop;
  std::vector<std::unique_ptr<TestInstance>> instances;
};

/// Two instances, 1 and 2, that list each other.
struct PairFixture : PeerFixture {
  TestInstance& one{this->Open(1)};
  TestInstance& two{this->Open(2)};
  core::InstanceList list{ListOf({&one, &two})};

  PairFixture() {
    this->one.links->SetInstances(this->list, kFleet);
    this->two.links->SetInstances(this->list, kFleet);
  }
};

}  // namespace sassafrasdyke::peer
