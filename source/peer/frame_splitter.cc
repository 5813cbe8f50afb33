#include "peer/frame_splitter.h"

#include <cstdint>

namespace sassafrasdyke::peer {
namespace {

constexpr unsigned kBitsPerByte = 8;

}  // namespace

std::string Framed(std::string_view body) {
  std::string frame;
  frame.reserve(kFrameHeader + body.size());
  const auto size = static_cast<std::uint32_t>(body.size());
  for (std::size_t i = 0; i < kFrameHeader; ++i) {
    const auto shift =
        kBitsPerByte * static_cast<unsigned>(kFrameHeader - 1 - i);
    frame += static_cast<char>(size >> shift);
  }
  frame += body;
  return frame;
}

void FrameSplitter::Append(std::string_view bytes) {
  this->buffer.erase(0, this->consumed);
  this->consumed = 0;
  this->buffer += bytes;
}

std::optional<std::string> FrameSplitter::Next() {
  const std::size_t held = this->buffer.size() - this->consumed;
  if (held < kFrameHeader || this->TooLong() ||
      held - kFrameHeader < this->Announced()) {
    return std::nullopt;
  }
  const std::size_t size = this->Announced();
  std::string frame = this->buffer.substr(this->consumed + kFrameHeader, size);
  this->consumed += kFrameHeader + size;
  return frame;
}

bool FrameSplitter::TooLong() const {
  return this->buffer.size() - this->consumed >= kFrameHeader &&
         this->Announced() > this->limit;
}

std::size_t FrameSplitter::Announced() const {
  std::size_t size = 0;
  for (std::size_t i = 0; i < kFrameHeader; ++i) {
    const auto byte =
        static_cast<std::uint8_t>(this->buffer[this->consumed + i]);
    size = (size << kBitsPerByte) | byte;
  }
  return size;
}

}  // namespace sassafrasdyke::peer
