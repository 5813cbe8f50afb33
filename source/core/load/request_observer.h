/// Receives what steering sees of requests and of their answers.
#pragma once

#include <chrono>

#include "core/steering/pending_requests.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// Times are monotonic, since process start.
class RequestObserver {
 public:
  virtual ~RequestObserver() = default;

  /// A new flow was sent to the target; its first request follows at once.
  virtual void OnOpening(TargetIndex target, std::chrono::milliseconds now) = 0;
  /// A further request was forwarded on an established flow.
  virtual void OnRequest(TargetIndex target, std::chrono::milliseconds now) = 0;
  /// The client acknowledged an answer at once. `timing.round_trip` is 0 for
  /// all but the first request of a flow.
  virtual void OnAnswer(TargetIndex target, const AnswerTiming& timing,
                        std::chrono::milliseconds now) = 0;
  /// A client retransmitted a SYN or a request that the target has left
  /// unanswered; told once for each of them.
  virtual void OnUnanswered(TargetIndex target,
                            std::chrono::milliseconds now) = 0;
  /// A client reset the flow, whose last request the target has left unanswered
  /// without that being told before.
  virtual void OnClientReset(TargetIndex target,
                             std::chrono::milliseconds now) = 0;
  /// The process was paused: what was seen before shows nothing.
  virtual void OnPause(std::chrono::milliseconds now) = 0;
};

}  // namespace sassafrasdyke::core
