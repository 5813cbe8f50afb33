/// Cuts a byte stream into frames: a length of 4 bytes, big endian, and so many
/// bytes.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sassafrasdyke::peer {

/// Bytes that stand before each frame.
inline constexpr std::size_t kFrameHeader = 4;

/// `body` with its length before it.
std::string Framed(std::string_view body);

/// Holds at most one frame that isn't whole yet.
class FrameSplitter {
 public:
  /// Frames longer than `limit` bytes are refused.
  explicit FrameSplitter(std::size_t limit) : limit(limit) {}

  void SetLimit(std::size_t bytes) { this->limit = bytes; }
  void Append(std::string_view bytes);
  /// The next whole frame; nothing when more bytes are needed.
  std::optional<std::string> Next();
  /// Whether the next frame announces more bytes than the limit; the stream
  /// can't be read any further then.
  bool TooLong() const;

 private:
  std::size_t Announced() const;

  std::size_t limit;
  std::string buffer;
  std::size_t consumed{0};
};

}  // namespace sassafrasdyke::peer
