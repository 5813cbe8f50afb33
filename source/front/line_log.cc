#include "front/line_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace sassafrasdyke::front {
namespace {

/// Lines that wait for a reader at most, in bytes: about 2,000 lines.
constexpr std::size_t kMostUnsent = 512U << 10U;
/// Written at once without waiting for the next tick.
constexpr std::size_t kWriteAt = 8U << 10U;

/// Longest text of a field, in bytes. Names that others publish may be as long
/// as an item; the rest is left out.
constexpr std::size_t kMostTextBytes = 512;

/// A line costs about 10 us; 40 a second are under a hundredth of a twentieth
/// of a core. The bursts hold what a whole restart or a release brings.
constexpr common::BucketLimits kProcessLines{20, 200};
constexpr common::BucketLimits kViewLines{40, 1000};
constexpr common::BucketLimits kPeerLines{10, 100};
constexpr common::BucketLimits kFlowLines{40, 400};
constexpr common::BucketLimits kResetLines{40, 400};
constexpr common::BucketLimits kLoadLines{10, 100};
constexpr common::BucketLimits kHealthLines{20, 400};

std::int64_t WallClock() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace

std::string_view Word(LineKind kind) {
  switch (kind) {
    case LineKind::kProcess:
      return "process";
    case LineKind::kView:
      return "view";
    case LineKind::kPeer:
      return "peer";
    case LineKind::kFlow:
    case LineKind::kReset:
      return "flow";
    case LineKind::kLoad:
      return "load";
    case LineKind::kHealth:
      return "health";
  }
  return "unknown";
}

LineLog::LineLog(ev::loop_ref loop, int descriptor, LineFields identity)
    : descriptor(descriptor),
      identity(identity.is_object() ? std::move(identity)
                                    : LineFields::object()),
      budgets{Budget{common::TokenBucket(kProcessLines)},
              Budget{common::TokenBucket(kViewLines)},
              Budget{common::TokenBucket(kPeerLines)},
              Budget{common::TokenBucket(kFlowLines)},
              Budget{common::TokenBucket(kResetLines)},
              Budget{common::TokenBucket(kLoadLines)},
              Budget{common::TokenBucket(kHealthLines)}},
      writable(loop) {
  const int flags = fcntl(descriptor, F_GETFL);
  fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  this->writable.set<LineLog, &LineLog::OnWritable>(this);
}

LineLog::~LineLog() { this->Drain(); }

void LineLog::Write(LineKind kind, std::string_view event,
                    const LineFields& fields, std::chrono::milliseconds now) {
  Budget& budget = this->budgets[static_cast<std::size_t>(kind)];
  if (this->unsent.size() >= kMostUnsent || !budget.bucket.Take(1, now)) {
    ++budget.omitted;
    ++this->left_out;
    return;
  }
  this->Append(kind, event, fields, now);
  if (this->unsent.size() >= kWriteAt) {
    this->Drain();
  }
}

void LineLog::Append(LineKind kind, std::string_view event,
                     const LineFields& fields, std::chrono::milliseconds now) {
  LineFields line;
  line["time_ms"] = WallClock();
  line["up_ms"] = now.count();
  line.update(this->identity);
  line["channel"] = Word(kind);
  line["event"] = event;
  if (fields.is_object()) {
    line.update(fields);
  }
  for (LineFields& field : line) {
    if (auto* const text = field.get_ptr<std::string*>();
        text != nullptr && text->size() > kMostTextBytes) {
      text->resize(kMostTextBytes);
      *text += "...";
    }
  }
  // Texts of others may hold bytes that are no UTF-8; they are replaced.
  this->unsent +=
      line.dump(-1, ' ', false, LineFields::error_handler_t::replace);
  this->unsent += '\n';
  ++this->written;
}

void LineLog::OnTick(std::chrono::milliseconds now) {
  for (std::size_t i = 0; i < kKinds; ++i) {
    Budget& budget = this->budgets[i];
    if (budget.omitted > 0 && this->unsent.size() < kMostUnsent &&
        budget.bucket.Take(1, now)) {
      const std::uint64_t omitted = std::exchange(budget.omitted, 0);
      this->Append(static_cast<LineKind>(i), "lines-left-out",
                   {{"count", omitted}}, now);
    }
  }
  this->Drain();
}

void LineLog::OnWritable(ev::io& /*watcher*/, int /*events*/) { this->Drain(); }

void LineLog::Drain() {
  while (!this->unsent.empty()) {
    const ssize_t size =
        write(this->descriptor, this->unsent.data(), this->unsent.size());
    if (size < 0 && errno == EINTR) {
      continue;
    }
    if (size < 0 && errno == EAGAIN) {
      this->writable.start(this->descriptor, ev::WRITE);
      return;
    }
    if (size < 0) {
      this->unsent.clear();  // Nobody will ever read.
      break;
    }
    this->unsent.erase(0, static_cast<std::size_t>(size));
  }
  this->writable.stop();
}

}  // namespace sassafrasdyke::front
