#include "rig/control_relay.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <stdexcept>
#include <utility>

#include "rig/socket.h"

namespace sassafrasdyke::rig {
namespace {

constexpr std::size_t kReadBytes = 16384;
constexpr std::chrono::milliseconds kTryAgain{5};
constexpr std::chrono::milliseconds kLookAgain{50};
constexpr int kBacklog = 64;

/// A TCP socket bound to `from`.
int BoundSocket(const common::Endpoint& from) {
  const common::SocketAddress address = common::ToSocketAddress(from);
  const int descriptor =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (::bind(descriptor, address.Get(), address.length) != 0) {
    ::close(descriptor);
    throw std::runtime_error("can't bind " + from.ToString());
  }
  return descriptor;
}

}  // namespace

RelayedStream::RelayedStream(std::array<int, 2> descriptors,
                             std::array<common::DomainId, 2> domains,
                             Scheduler& scheduler, Fabric& fabric)
    : descriptors(descriptors),
      domains(domains),
      scheduler(scheduler),
      fabric(fabric) {
  this->readable[0].set<RelayedStream, &RelayedStream::OnReadable<0>>(this);
  this->readable[1].set<RelayedStream, &RelayedStream::OnReadable<1>>(this);
  this->readable[0].start(descriptors[0], ev::READ);
  this->readable[1].start(descriptors[1], ev::READ);
}

RelayedStream::~RelayedStream() {
  for (std::size_t end = 0; end < this->descriptors.size(); ++end) {
    this->readable[end].stop();
    ::close(this->descriptors[end]);
  }
}

template <std::size_t kFrom>
void RelayedStream::OnReadable(ev::io& /*watcher*/, int /*events*/) {
  this->Read(kFrom);
}

void RelayedStream::Read(std::size_t from) {
  if (this->fabric.Separated(this->domains[0], this->domains[1])) {
    // TCP would retransmit into the void and deliver after the cut.
    this->readable[from].stop();
    this->Later(kLookAgain, [this, from] {
      if (!this->ended) {
        this->readable[from].start(this->descriptors[from], ev::READ);
      }
    });
    return;
  }
  std::string bytes(kReadBytes, '\0');
  const ssize_t count =
      ::recv(this->descriptors[from], bytes.data(), bytes.size(), 0);
  if (count < 0 && errno == EAGAIN) {
    return;
  }
  Direction& direction = this->directions[from];
  // A stream stays in order, however the delay varies.
  direction.last_due =
      std::max(direction.last_due,
               this->scheduler.Now() +
                   this->fabric.Delay(this->domains[0], this->domains[1]));
  const auto delay = direction.last_due - this->scheduler.Now();
  if (count <= 0) {
    this->readable[from].stop();
    this->Later(delay, [this] { this->End(); });
    return;
  }
  bytes.resize(static_cast<std::size_t>(count));
  this->Later(delay, [this, from, bytes = std::move(bytes)] {
    this->directions[from].pending += bytes;
    this->Flush(from);
  });
}

void RelayedStream::Later(std::chrono::microseconds delay,
                          Scheduler::Action action) {
  ++this->in_flight;
  this->scheduler.After(delay, [this, action = std::move(action)] {
    --this->in_flight;
    action();
  });
}

void RelayedStream::Flush(std::size_t from) {
  std::string& pending = this->directions[from].pending;
  if (this->ended || pending.empty()) {
    return;
  }
  const ssize_t sent = ::send(this->descriptors[1 - from], pending.data(),
                              pending.size(), MSG_NOSIGNAL);
  if (sent > 0) {
    pending.erase(0, static_cast<std::size_t>(sent));
  } else if (errno != EAGAIN && errno != ENOTCONN) {
    this->End();
    return;
  }
  if (!pending.empty()) {
    this->Later(kTryAgain, [this, from] { this->Flush(from); });
  }
}

void RelayedStream::End() {
  this->ended = true;
  for (std::size_t end = 0; end < this->descriptors.size(); ++end) {
    this->readable[end].stop();
    ::shutdown(this->descriptors[end], SHUT_RDWR);
  }
}

ControlRelay::ControlRelay(const AddressPlan& plan, Scheduler& scheduler,
                           Fabric& fabric)
    : plan(plan), scheduler(scheduler), fabric(fabric) {}

ControlRelay::Door::~Door() {
  this->readable.stop();
  ::close(this->descriptor);
}

void ControlRelay::Door::OnReadable(ev::io& /*watcher*/, int /*events*/) {
  this->relay->Accept(*this);
}

void ControlRelay::AddInstance(common::InstanceId instance,
                               common::DomainId domain) {
  if (this->doors.contains(instance)) {
    return;
  }
  auto door = std::make_unique<Door>();
  door->relay = this;
  door->instance = instance;
  door->domain = domain;
  door->descriptor = BoundSocket(this->plan.RelayedControl(instance.value));
  ::listen(door->descriptor, kBacklog);
  door->readable.set<Door, &Door::OnReadable>(door.get());
  door->readable.start(door->descriptor, ev::READ);
  this->doors.emplace(instance, std::move(door));
}

void ControlRelay::Accept(const Door& door) {
  sockaddr_storage source{};
  socklen_t size = sizeof(source);
  const int accepted =
      ::accept4(door.descriptor, reinterpret_cast<sockaddr*>(&source), &size,
                SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (accepted < 0) {
    return;
  }
  // Instances speak from their own address, which tells them apart.
  const common::Endpoint from = common::FromSocketAddress(source);
  const auto opener = std::find_if(
      this->doors.begin(), this->doors.end(), [&](const auto& entry) {
        return this->plan.Control(entry.first.value).address == from.address;
      });
  if (opener == this->doors.end()) {
    ::close(accepted);
    return;
  }
  common::Endpoint speak = this->plan.RelayedControl(opener->first.value);
  speak.port = 0;
  const int onward = BoundSocket(speak);
  const common::SocketAddress to =
      common::ToSocketAddress(this->plan.Control(door.instance.value));
  // A refusal shows when the socket turns readable.
  static_cast<void>(::connect(onward, to.Get(), to.length));
  this->streams.remove_if(
      [](const RelayedStream& stream) { return stream.Ended(); });
  this->streams.emplace_back(
      std::array<int, 2>{accepted, onward},
      std::array<common::DomainId, 2>{opener->second->domain, door.domain},
      this->scheduler, this->fabric);
  ++this->opened;
}

}  // namespace sassafrasdyke::rig
