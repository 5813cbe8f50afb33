#include "core/steering/end_evidence.h"

namespace sassafrasdyke::core {
namespace {

/// Covers the propagation delay of stores and peers.
constexpr std::chrono::milliseconds kPropagationTime{500};

}  // namespace

bool EndEvidence::ViewShowsEnd(const std::optional<FlowSighting>& flow) const {
  return flow && this->view_confirmed_at &&
         *this->view_confirmed_at >= flow->first_seen + kPropagationTime;
}

bool EndEvidence::ProbesShowEnd(const std::optional<FlowSighting>& flow) const {
  return flow && this->silent_as_of &&
         *this->silent_as_of >= flow->first_seen &&
         (flow->opened_here || this->ViewShowsEnd(flow));
}

}  // namespace sassafrasdyke::core
