#include "core/differential/properties.h"

#include <sstream>
#include <vector>

#include "core/differential/random_events.h"

namespace sassafrasdyke::core::testing {
namespace {

constexpr int kMostEvents = 80;

/// A number from the whole range, however small the history is; plain ranges
/// start small and would leave out the events at their end.
template <typename T>
rc::Gen<T> AnyOf(T least, T end) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(least, end));
}

rc::Gen<Event> AnyEvent(Mix mix) {
  const auto end =
      mix == Mix::kPlanned ? EventKind::kFirstFault : EventKind::kCount;
  return rc::gen::build<Event>(
      rc::gen::set(
          &Event::kind,
          rc::gen::map(AnyOf(0, static_cast<int>(end)),
                       [](int kind) { return static_cast<EventKind>(kind); })),
      rc::gen::set(&Event::pick, AnyOf<std::uint32_t>(0, 1000)));
}

rc::Gen<History> AnyHistory(Mix mix) {
  return rc::gen::build<History>(
      rc::gen::set(&History::domains, AnyOf<std::uint32_t>(1, 4)),
      rc::gen::set(&History::lost_percent, AnyOf<std::uint32_t>(0, 20)),
      rc::gen::set(&History::repeated_percent, AnyOf<std::uint32_t>(0, 20)),
      rc::gen::set(&History::seed, AnyOf<std::uint64_t>(1, 1'000'000)),
      rc::gen::set(&History::events,
                   rc::gen::container<std::vector<Event>>(AnyEvent(mix))));
}

}  // namespace

std::string Check(const Trials& trials) {
  const Mix mix = trials.mix;
  const auto property = [mix] {
    const History history = *AnyHistory(mix);
    const std::vector<std::string> faults = Play(history, mix == Mix::kPlanned);
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
  params.maxSize = kMostEvents;
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
