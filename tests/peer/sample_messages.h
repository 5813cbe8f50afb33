/// One message of each kind, with every field set to its own value.
#pragma once

#include <string>
#include <vector>

#include "core/messages.h"

namespace sassafrasdyke::peer {

/// In the order of the variant.
inline std::vector<core::PeerMessage> SampleMessages() {
  using core::DocumentKind;
  const core::DocumentDigest digest{DocumentKind::kInstances, {7}, 1U << 31U};
  const core::DocumentEntry entry{"targets/diary-01", R"({"id":1})"};
  return {
      core::Heartbeat{{3}, 9, true, false, true, {digest, digest}, 11, 12},
      core::MemberReport{{4}, {5}, {6}, 7, 8, core::MemberState::kSuspected},
      core::DocumentRequest{DocumentKind::kInstances, digest},
      core::DocumentDelta{DocumentKind::kConfiguration,
                          {6},
                          {7},
                          ~0ULL,
                          {entry},
                          {"targets/diary-02", "services/menu"}},
      core::DocumentCopy{{DocumentKind::kConfiguration, {8}, {entry, entry}},
                         99},
      core::TargetHealthChange{{101}, core::TargetHealth::kShedding, 4, {2}},
      core::ExceptionCopy{{{1}, {63}},
                          {3},
                          4,
                          5,
                          {101},
                          true,
                          false,
                          {{{1ULL << 63U}, {102}}, {{77}, {103}}},
                          {{88}}},
      core::ExceptionCopyAck{{{2}, {0}}, {1}, 2, 3, true},
      core::ReachabilityReport{{2}, {5}, 6, true},
      core::OpeningsKnown{{{1}, {63}}, std::chrono::milliseconds{45'000}},
      core::OwnershipGrant{
          {{1}, {63}}, {3}, {65'535}, std::chrono::milliseconds{45'000}},
      core::OwnershipGrantAck{{{1}, {63}}, {3}, {65'535}},
      core::OwnerRequest{{{2}, {0}}},
      core::OwnerReply{
          {{1}, {63}}, core::OwnerKnowledge::kGranted, {810}, {{7}, {8}}},
  };
}

}  // namespace sassafrasdyke::peer
