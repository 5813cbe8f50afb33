/// Carries the streams between instances, so that delay and cuts between
/// failure domains hold for control traffic too.
#pragma once

#include <ev++.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "common/ids.h"
#include "rig/addresses.h"
#include "rig/fabric.h"
#include "rig/scheduler.h"

namespace sassafrasdyke::rig {

/// One TCP connection, from the side that opened it to the side it is for.
class RelayedStream {
 public:
  /// Takes over the descriptors. The two failure domains are those of the ends;
  /// references must outlive it.
  RelayedStream(std::array<int, 2> descriptors,
                std::array<common::DomainId, 2> domains, Scheduler& scheduler,
                Fabric& fabric);
  ~RelayedStream();
  RelayedStream(const RelayedStream&) = delete;
  RelayedStream& operator=(const RelayedStream&) = delete;

  bool Ended() const { return this->ended && this->in_flight == 0; }

 private:
  /// What one end sent and the other hasn't taken yet.
  struct Direction {
    std::string pending;
    std::chrono::microseconds last_due{0};
  };

  template <std::size_t kFrom>
  void OnReadable(ev::io& watcher, int events);
  void Read(std::size_t from);
  void Later(std::chrono::microseconds delay, Scheduler::Action action);
  void Flush(std::size_t from);
  void End();

  std::array<int, 2> descriptors;
  std::array<common::DomainId, 2> domains;
  Scheduler& scheduler;
  Fabric& fabric;
  std::array<Direction, 2> directions;
  std::array<ev::io, 2> readable;
  std::size_t in_flight{0};  ///< Scheduled actions that still refer to this.
  bool ended{false};
};

/// Listens where instances are published and passes on to where they are.
class ControlRelay {
 public:
  ControlRelay(const AddressPlan& plan, Scheduler& scheduler, Fabric& fabric);

  void AddInstance(common::InstanceId instance, common::DomainId domain);
  std::uint64_t Streams() const { return this->opened; }

 private:
  struct Door {
    ControlRelay* relay;
    common::InstanceId instance;
    common::DomainId domain;
    int descriptor;
    ev::io readable;

    ~Door();
    void OnReadable(ev::io& watcher, int events);
  };

  void Accept(const Door& door);

  AddressPlan plan;
  Scheduler& scheduler;
  Fabric& fabric;
  std::map<common::InstanceId, std::unique_ptr<Door>> doors;
  std::list<RelayedStream> streams;
  std::uint64_t opened{0};
};

}  // namespace sassafrasdyke::rig
