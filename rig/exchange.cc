#include "rig/exchange.h"

#include <cstddef>
#include <cstring>
#include <type_traits>

namespace sassafrasdyke::rig {
namespace {

constexpr std::uint32_t kRequestMagic = 0x53445251;
constexpr std::uint32_t kAnswerMagic = 0x53444153;
/// A diary entry's or a swipe's size, about.
constexpr std::size_t kRequestBytes = 120;
constexpr std::size_t kAnswerBytes = 400;

// Both ends live in one process, so the structures' own form is agreed on.
template <typename Mark>
std::vector<std::uint8_t> Write(const Mark& mark, std::uint32_t magic,
                                std::size_t size) {
  static_assert(std::is_trivially_copyable_v<Mark>);
  std::vector<std::uint8_t> out(size);
  std::memcpy(out.data(), &magic, sizeof(magic));
  std::memcpy(out.data() + sizeof(magic), &mark, sizeof(mark));
  return out;
}

template <typename Mark>
std::optional<Mark> Read(std::span<const std::uint8_t> in, std::uint32_t magic,
                         std::size_t size) {
  std::uint32_t found = 0;
  if (in.size() != size) {
    return std::nullopt;
  }
  std::memcpy(&found, in.data(), sizeof(found));
  if (found != magic) {
    return std::nullopt;
  }
  Mark mark;
  std::memcpy(&mark, in.data() + sizeof(magic), sizeof(mark));
  return mark;
}

}  // namespace

std::vector<std::uint8_t> Encode(const Request& request) {
  return Write(request, kRequestMagic, kRequestBytes);
}

std::vector<std::uint8_t> Encode(const AnswerPart& part) {
  return Write(part, kAnswerMagic, kAnswerBytes);
}

std::optional<Request> DecodeRequest(std::span<const std::uint8_t> payload) {
  return Read<Request>(payload, kRequestMagic, kRequestBytes);
}

std::optional<AnswerPart> DecodeAnswerPart(
    std::span<const std::uint8_t> payload) {
  return Read<AnswerPart>(payload, kAnswerMagic, kAnswerBytes);
}

}  // namespace sassafrasdyke::rig
