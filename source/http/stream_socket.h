/// Non-blocking TCP sockets for HTTP.
#pragma once

#include <optional>
#include <utility>

#include "common/address.h"

namespace sassafrasdyke::http {

/// A descriptor, closed when it goes.
class StreamSocket {
 public:
  StreamSocket() = default;
  explicit StreamSocket(int descriptor) : descriptor(descriptor) {}
  ~StreamSocket() { this->Close(); }
  StreamSocket(StreamSocket&& other) noexcept
      : descriptor(std::exchange(other.descriptor, -1)) {}
  StreamSocket& operator=(StreamSocket&& other) noexcept;

  int Descriptor() const { return this->descriptor; }
  bool IsOpen() const { return this->descriptor >= 0; }
  void Close();

  /// Listens at `endpoint`; nothing if the system refuses, with errno set.
  static std::optional<StreamSocket> Listen(const common::Endpoint& endpoint);
  /// Starts to connect; nothing if the system refuses at once.
  static std::optional<StreamSocket> Connect(const common::Endpoint& to);
  /// Takes one waiting connection; nothing when none waits.
  std::optional<StreamSocket> Accept() const;

 private:
  int descriptor{-1};
};

}  // namespace sassafrasdyke::http
