/// A byte stream to a peer, plain or encrypted, that never blocks.
#pragma once

#include <cstddef>
#include <span>
#include <string_view>

namespace sassafrasdyke::peer {

/// How a read or write ended.
enum class IoState {
  kDone,        ///< Some bytes went through.
  kWantsRead,   ///< Nothing did; try again when the socket is readable.
  kWantsWrite,  ///< Nothing did; try again when the socket is writable.
  kClosed,      ///< The other end closed it, or it was lost.
  kRefused,     ///< One end refuses the other's certificate or its protocol.
};

/// The outcome of one read or write.
struct IoResult {
  IoState state{IoState::kClosed};
  std::size_t bytes{0};  ///< Greater than 0 only when done.
};

/// One connected, or connecting, stream.
class Transport {
 public:
  virtual ~Transport() = default;

  virtual IoResult Read(std::span<char> into) = 0;
  /// A write that wants something must be repeated with the same bytes.
  virtual IoResult Write(std::string_view bytes) = 0;
  /// The socket to watch.
  virtual int Descriptor() const = 0;
};

}  // namespace sassafrasdyke::peer
