/// What callers and targets write into the payload: a request in one segment,
/// an answer in several. The marks let either end, and the judge, tell whose
/// data it has.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "common/ids.h"

namespace sassafrasdyke::rig {

/// One flow of one caller, from SYN to end; never used again.
using FlowId = common::Id<struct FlowTag, std::uint64_t>;
/// One piece of work; a caller that may try it again keeps the id.
using RequestId = common::Id<struct RequestTag, std::uint64_t>;

/// One try of one request.
struct Attempt {
  RequestId request;
  std::uint32_t number{0};

  // NOLINTNEXTLINE(modernize-use-nullptr): the defaulted operator has none.
  friend auto operator<=>(const Attempt&, const Attempt&) = default;
};

/// A request, one segment.
struct Request {
  common::ServiceId service;
  FlowId flow;
  Attempt attempt;
  /// Whether it may run twice without harm.
  bool idempotent{false};
};

/// One of the segments of an answer.
struct AnswerPart {
  common::ServiceId service;
  FlowId flow;
  Attempt attempt;
  std::uint32_t index{0};  ///< From 0.
  std::uint32_t count{1};  ///< Segments of the whole answer.
};

std::vector<std::uint8_t> Encode(const Request& request);
std::vector<std::uint8_t> Encode(const AnswerPart& part);
std::optional<Request> DecodeRequest(std::span<const std::uint8_t> payload);
std::optional<AnswerPart> DecodeAnswerPart(
    std::span<const std::uint8_t> payload);

}  // namespace sassafrasdyke::rig
