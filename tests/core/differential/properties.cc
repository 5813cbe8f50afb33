#include "core/differential/properties.h"

#include <sstream>
#include <vector>

#include "core/differential/random_events.h"

namespace sassafrasdyke::core::testing {
namespace {

constexpr int kMaxEvents = 80;

/// Generates numbers from the whole range at every test size. A plain range
/// grows with the size, so small histories would never contain the last event
/// kinds.
template <typename T>
rc::Gen<T> InFullRange(T min, T end) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(min, end));
}

rc::Gen<Event> AnyEvent(Mix mix) {
  const auto end =
      mix == Mix::kPlanned ? EventKind::kFirstFault : EventKind::kCount;
  return rc::gen::build<Event>(
      rc::gen::set(
          &Event::kind,
          rc::gen::map(InFullRange(0, static_cast<int>(end)),
                       [](int kind) { return static_cast<EventKind>(kind); })),
      rc::gen::set(&Event::pick, InFullRange<std::uint32_t>(0, 1000)));
}

rc::Gen<History> AnyHistory(Mix mix) {
  return rc::gen::build<History>(
      rc::gen::set(&History::domains, InFullRange<std::uint32_t>(1, 4)),
      rc::gen::set(&History::lost_percent, InFullRange<std::uint32_t>(0, 20)),
      rc::gen::set(&History::repeated_percent,
                   InFullRange<std::uint32_t>(0, 20)),
      rc::gen::set(&History::seed, InFullRange<std::uint64_t>(1, 1'000'000)),
      rc::gen::set(&History::events,
                   rc::gen::container<std::vector<Event>>(AnyEvent(mix))));
}

}  // namespace

std::string Check(const Trials& trials) {
  const Mix mix = trials.mix;
  const auto property = [mix] {
    const History history = *AnyHistory(mix);
    const std::vector<std::string> faults =
        RunHistory(history, mix == Mix::kPlanned);
    if (!faults.empty()) {
      std::ostringstream text;
      text << history << '\n'
           << faults.size() << " faults, the first: " << faults.front();
      RC_FAIL(text.str());
    }
  };
  rc::detail::TestParams params;
  params.seed = trials.seed;
  params.maxSuccess = trials.histories;
  params.maxSize = kMaxEvents;
  params.disableShrinking = !trials.shrinks;
  rc::detail::TestMetadata metadata;
  metadata.description = "random histories";
  const auto result = rc::detail::checkTestable(property, metadata, params);
  if (result.template is<rc::detail::SuccessResult>()) {
    return {};
  }
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  return text.str();
}

}  // namespace sassafrasdyke::core::testing
