/// Fuzzes what a peer's bytes go through: frames, hellos and messages.
#include <optional>
#include <string>

#include "fuzz_input.h"
#include "peer/frame_splitter.h"
#include "peer/peer_codec.h"

namespace sassafrasdyke::peer {
namespace {

constexpr std::size_t kFrameLimit = 1000;

/// What decodes must survive the way there and back unchanged.
void CheckMessage(std::string_view bytes) {
  const auto message = DecodeMessage(bytes);
  if (!message) {
    return;
  }
  const std::string encoded = Encode(*message);
  const auto again = DecodeMessage(encoded);
  fuzz::Require(again.has_value());
  fuzz::Require(Encode(*again) == encoded);
}

void CheckHello(std::string_view bytes) {
  if (const auto hello = DecodeHello(bytes)) {
    const auto again = DecodeHello(Encode(*hello));
    fuzz::Require(again.has_value() && *again == *hello);
  }
}

/// The bytes as a stream, cut in two: the frames must be the same as whole.
void CheckFrames(std::string_view bytes) {
  FrameSplitter whole(kFrameLimit);
  whole.Append(bytes);
  FrameSplitter cut(kFrameLimit);
  cut.Append(bytes.substr(0, bytes.size() / 2));
  std::string frames;
  while (const auto frame = cut.Next()) {
    frames += *frame;
  }
  cut.Append(bytes.substr(bytes.size() / 2));
  while (const auto frame = cut.Next()) {
    frames += *frame;
  }
  std::string expected;
  while (const auto frame = whole.Next()) {
    fuzz::Require(frame->size() <= kFrameLimit);
    CheckMessage(*frame);
    expected += *frame;
  }
  fuzz::Require(frames == expected);
  fuzz::Require(cut.TooLong() == whole.TooLong());
}

}  // namespace
}  // namespace sassafrasdyke::peer

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view bytes = sassafrasdyke::fuzz::Text(data, size);
  sassafrasdyke::peer::CheckMessage(bytes);
  sassafrasdyke::peer::CheckHello(bytes);
  sassafrasdyke::peer::CheckFrames(bytes);
  return 0;
}
