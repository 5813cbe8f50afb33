#include "core/steering/syn_order.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "common/hash.h"

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// Maximum number of buckets of callers: as many as SYNs can wait.
constexpr std::uint32_t kCallerBuckets = 1024;
constexpr std::uint64_t kCallerSalt = 0x63616C6C6572ULL;
/// SYNs of a caller in one turn. With one, a caller's newest SYN would wait for
/// older ones of callers that have had as many slots, until it is late as well.
constexpr std::uint64_t kSynsPerTurn = 4;

std::uint32_t BucketOf(const common::IpAddress& caller) {
  const auto& raw = caller.Raw();
  return static_cast<std::uint32_t>(
      common::HashBytes(raw.data(), raw.size(), kCallerSalt) % kCallerBuckets);
}

}  // namespace

std::optional<QueuedSyn> RankOrder::TakeNext(
    SynQueue& queue, std::span<const WaitingRoute> routes, milliseconds now) {
  const auto first = std::ranges::min_element(routes, {}, &WaitingRoute::rank);
  if (first == routes.end()) {
    return std::nullopt;
  }
  return queue.Take(first->address, first->in_time, now);
}

std::vector<SynPlace> RankOrder::Line(const SynQueue& queue,
                                      std::span<const WaitingRoute> routes,
                                      milliseconds now) const {
  std::vector<SynPlace> line;
  std::vector<WaitingRoute> by_rank(routes.begin(), routes.end());
  std::ranges::stable_sort(by_rank, {}, &WaitingRoute::rank);
  for (const WaitingRoute& route : by_rank) {
    const auto found = queue.ByRoute().find(route.address);
    if (found == queue.ByRoute().end()) {
      continue;
    }
    const auto& syns = found->second;
    const auto in_time = syns.lower_bound(now - route.in_time);
    for (auto syn = syns.end(); syn != in_time;) {
      --syn;
      const std::size_t before = line.size();
      line.push_back(
          {syn->second.flow, route.rank, syn->first, before, before});
    }
    for (auto syn = syns.begin(); syn != in_time; ++syn) {
      const std::size_t before = line.size();
      line.push_back(
          {syn->second.flow, route.rank, syn->first, before, before});
    }
  }
  return line;
}

std::uint64_t FairOrder::Turns::StartTag(std::uint32_t bucket) const {
  const auto finish = this->finish_tags.find(bucket);
  return finish == this->finish_tags.end()
             ? this->virtual_time
             : std::max(finish->second, this->virtual_time);
}

void FairOrder::Turns::OnTaken(std::uint32_t bucket,
                               std::uint64_t least_waiting) {
  const std::uint64_t tag = this->StartTag(bucket);
  this->virtual_time = std::max(this->virtual_time, least_waiting);
  this->finish_tags[bucket] = tag + 1;
  std::erase_if(this->finish_tags, [this](const auto& finish) {
    return finish.second <= this->virtual_time;
  });
}

bool FairOrder::Candidate::Before(const Candidate& other) const {
  if (std::tie(this->late, this->tag) != std::tie(other.late, other.tag)) {
    return std::tie(this->late, this->tag) < std::tie(other.late, other.tag);
  }
  return this->late ? this->first_sent < other.first_sent
                    : this->first_sent > other.first_sent;
}

std::vector<FairOrder::Candidate> FairOrder::CandidatesOf(
    const SynQueue& queue, std::span<const WaitingRoute> routes,
    milliseconds now) const {
  std::vector<Candidate> candidates;
  candidates.reserve(queue.Size());
  for (const WaitingRoute& route : routes) {
    const auto syns = queue.ByRoute().find(route.address);
    if (syns == queue.ByRoute().end()) {
      continue;
    }
    const auto turns = this->turns.find(route.rank);
    for (const auto& [first_sent, syn] : syns->second) {
      if (syn.superseded_at <= now) {
        continue;
      }
      const std::uint32_t bucket = BucketOf(syn.flow.caller.address);
      const std::uint64_t tag =
          turns == this->turns.end() ? 0 : turns->second.StartTag(bucket);
      candidates.push_back({&syn, route.rank, bucket, tag, first_sent,
                            now - first_sent > route.in_time});
    }
  }
  return candidates;
}

std::uint32_t FairOrder::RankInTurn(
    const std::vector<Candidate>& candidates) const {
  const std::uint32_t urgent =
      std::ranges::min(candidates, {}, &Candidate::rank).rank;
  if (this->urgent_turns + 1 < kTurnsPerOtherRank) {
    return urgent;
  }
  // If the oldest SYN alone decided, one of a rank that is overloaded as well
  // would stay the oldest, and ranks below would never get a turn.
  const auto next = std::ranges::min_element(
      candidates, {}, [this, urgent](const Candidate& candidate) {
        const auto turns = this->turns.find(candidate.rank);
        const std::uint64_t last_turn =
            turns == this->turns.end() ? 0 : turns->second.last_turn;
        return std::tuple(candidate.rank == urgent, last_turn,
                          candidate.first_sent);
      });
  return next->rank;
}

std::optional<QueuedSyn> FairOrder::TakeNext(
    SynQueue& queue, std::span<const WaitingRoute> routes, milliseconds now) {
  auto candidates = this->CandidatesOf(queue, routes, now);
  if (candidates.empty()) {
    return std::nullopt;
  }
  const std::uint32_t rank = this->RankInTurn(candidates);
  const auto [most_urgent, least_urgent] =
      std::ranges::minmax(candidates, {}, &Candidate::rank);
  const bool passed_others = rank != least_urgent.rank;
  if (rank != most_urgent.rank) {
    this->urgent_turns = 0;
    this->turns[rank].last_turn = ++this->other_turns;
  } else if (passed_others) {
    ++this->urgent_turns;
  }
  std::erase_if(candidates, [rank](const Candidate& candidate) {
    return candidate.rank != rank;
  });
  const bool late = std::ranges::all_of(candidates, &Candidate::late);
  std::erase_if(candidates, [late](const Candidate& candidate) {
    return candidate.late != late;
  });
  const std::uint64_t least =
      std::ranges::min(candidates, {}, &Candidate::tag).tag;
  for (Candidate& candidate : candidates) {
    candidate.tag = std::max(candidate.tag, least + kSynsPerTurn - 1);
  }
  const Candidate next = *std::ranges::min_element(
      candidates,
      [](const Candidate& a, const Candidate& b) { return a.Before(b); });
  this->turns[rank].OnTaken(next.bucket, least);
  return queue.Take(common::FlowKey(next.syn->flow));
}

std::vector<SynPlace> FairOrder::Line(const SynQueue& queue,
                                      std::span<const WaitingRoute> routes,
                                      milliseconds now) const {
  auto candidates = this->CandidatesOf(queue, routes, now);
  const auto before = [](const Candidate& a, const Candidate& b) {
    return a.rank != b.rank ? a.rank < b.rank : a.Before(b);
  };
  // A caller's first SYN has the next start tag of its bucket, the others have
  // those that follow.
  std::ranges::sort(candidates, before);
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint64_t> of_caller;
  for (Candidate& candidate : candidates) {
    candidate.tag += of_caller[{candidate.rank, candidate.bucket}]++;
  }
  std::ranges::sort(candidates, before);
  std::vector<SynPlace> line;
  line.reserve(candidates.size());
  std::size_t first_of_rank = 0;
  for (const Candidate& candidate : candidates) {
    if (!line.empty() && line.back().rank != candidate.rank) {
      first_of_rank = line.size();
    }
    const std::size_t in_rank = line.size() - first_of_rank;
    line.push_back({candidate.syn->flow, candidate.rank, candidate.first_sent,
                    line.size(), in_rank});
  }
  return line;
}

}  // namespace sassafrasdyke::core
