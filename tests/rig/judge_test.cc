/// Whether the judge of every run counts what it must: callers and targets
/// with a network between them that does one thing wrong.
#include "rig/judge.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "rig/callers.h"
#include "rig/scheduler.h"
#include "rig/target.h"

namespace sassafrasdyke::rig {
namespace {

using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

constexpr std::uint32_t kTargetsOfDiary = 2;
const common::Endpoint kDiary{common::IpAddress::FromV4(0xC000020A), 443};
const common::Endpoint kHandover{common::IpAddress::FromV4(0xC000020B), 443};

/// What the network does wrong.
enum class Fault {
  kNone,
  kOtherService,         ///< One packet goes to another service's target.
  kSynTwice,             ///< A SYN with its request goes to two targets.
  kRefusedAfterRun,      ///< A SYN goes on, and is answered with a RST too.
  kMovedFlow,            ///< Packets after the SYN go to the other target.
  kBlackHole,            ///< Packets after the SYN vanish.
  kCrossedAnswers,       ///< Answers reach another flow.
  kSwallowedAnswers,     ///< Answers vanish; confirmations still come.
  kResetInsideAnswer,    ///< A RST takes the place of an answer's second part.
  kTargetFails,          ///< The flows' target fails.
  kTargetSilent,         ///< The flows' target forgets them silently.
  kPlacedWhileDraining,  ///< New flows go to a target long in drain.
  kResetOutsideWindow,   ///< RSTs carry a wrong sequence number.
};

/// Two diary targets and one of handover; all flows belong at the first.
class Bench final : public SegmentSink {
 public:
  explicit Bench(Fault fault) : fault(fault) {
    this->Add(1, 1, kDiary);
    this->Add(2, 1, kDiary);
    this->Add(3, 2, kHandover);
    const LoadShape shape{.services = {{.service = common::ServiceId{1},
                                        .address = kDiary,
                                        .flows_per_second = 20,
                                        .long_flows = 5}},
                          .pause = Milliseconds{300},
                          .fast_open_percent = 50};
    this->callers = std::make_unique<Callers>(shape, 1, this->scheduler,
                                              this->judge, *this);
  }

  /// Plays 20 s of load and the time after it.
  Tally Play() {
    if (this->fault == Fault::kPlacedWhileDraining) {
      this->judge.TargetDrained(common::TargetId{1});
    }
    this->callers->Start();
    this->scheduler.RunUntil(Seconds{5});
    if (this->fault == Fault::kTargetFails) {
      this->targets[0]->Fail();
    }
    if (this->fault == Fault::kTargetSilent) {
      this->targets[0]->GoSilent();
    }
    this->scheduler.RunUntil(Seconds{20});
    this->callers->Stop();
    this->scheduler.RunUntil(Seconds{50});
    this->callers->Close();
    return this->judge.Counts();
  }

  void Send(const Segment& segment) override {
    this->scheduler.After(Milliseconds{1}, [this, segment] {
      if (segment.heading == Heading::kToService) {
        this->ToTarget(segment);
      } else {
        this->ToCaller(segment);
      }
    });
  }

  Balance DiaryBalance() const {
    return this->judge.BalanceOf(common::ServiceId{1});
  }

 private:
  void Add(std::uint32_t id, std::uint32_t service,
           const common::Endpoint& address) {
    const TargetShape shape{.id = common::TargetId{id},
                            .service = common::ServiceId{service},
                            .address = address,
                            .service_time = Milliseconds{5}};
    this->targets.push_back(std::make_unique<StandInTarget>(
        shape, this->scheduler, this->judge, *this));
    this->judge.TargetAdded(shape.id, shape.service, 100);
  }

  void ToTarget(const Segment& segment) {
    const bool syn = segment.flags.syn;
    if (this->fault == Fault::kBlackHole && !syn) {
      return;
    }
    if (this->fault == Fault::kOtherService && !syn) {
      this->targets[2]->OnSegment(segment);
      return;
    }
    if (this->fault == Fault::kMovedFlow && !syn) {
      this->targets[1]->OnSegment(segment);
      return;
    }
    this->targets[0]->OnSegment(segment);
    if (this->fault == Fault::kSynTwice && syn) {
      this->targets[1]->OnSegment(segment);
    }
    if (this->fault == Fault::kRefusedAfterRun && syn) {
      this->callers->OnSegment({Heading::kToCaller,
                                segment.flow,
                                {.ack = true, .rst = true},
                                0,
                                segment.sequence + segment.Length(),
                                {}});
    }
    if (this->fault == Fault::kResetOutsideWindow && !syn) {
      this->callers->OnSegment(
          {Heading::kToCaller, segment.flow, {.rst = true}, 12345, 0, {}});
    }
  }

  void ToCaller(Segment segment) {
    if (this->fault == Fault::kCrossedAnswers && !segment.payload.empty()) {
      std::swap(segment.payload, this->last_payload);
    }
    if (this->fault == Fault::kSwallowedAnswers && !segment.payload.empty()) {
      return;
    }
    const auto part = DecodeAnswerPart(segment.payload);
    if (this->fault == Fault::kResetInsideAnswer && part && part->index == 1) {
      segment.payload.clear();
      segment.flags = {.rst = true};
    }
    this->callers->OnSegment(segment);
  }

  Fault fault;
  Scheduler scheduler;
  Judge judge{this->scheduler};
  std::vector<std::unique_ptr<StandInTarget>> targets;
  std::unique_ptr<Callers> callers;
  std::vector<std::uint8_t> last_payload = Encode(AnswerPart{});
};

struct Planted {
  std::string name;
  Fault fault;
  /// The one counter that must tell of it.
  std::function<std::uint64_t(const Tally&)> counter;
};

std::ostream& operator<<(std::ostream& out, const Planted& row) {
  return out << row.name;
}

const Planted kPlanted[] = {
    {"other service", Fault::kOtherService,
     [](const Tally& tally) { return tally.misrouted; }},
    {"SYN twice", Fault::kSynTwice,
     [](const Tally& tally) { return tally.double_runs; }},
    {"refused after run", Fault::kRefusedAfterRun,
     [](const Tally& tally) { return tally.false_not_run; }},
    {"moved flow", Fault::kMovedFlow,
     [](const Tally& tally) { return tally.broken_reset; }},
    {"black hole", Fault::kBlackHole,
     [](const Tally& tally) { return tally.broken_timeout; }},
    {"crossed answers", Fault::kCrossedAnswers,
     [](const Tally& tally) { return tally.foreign_answers; }},
    {"swallowed answers", Fault::kSwallowedAnswers,
     [](const Tally& tally) { return tally.broken_unanswered; }},
    {"reset inside an answer", Fault::kResetInsideAnswer,
     [](const Tally& tally) { return tally.incomplete_answers; }},
    {"target fails", Fault::kTargetFails,
     [](const Tally& tally) { return tally.lost_with_target; }},
    {"target silent", Fault::kTargetSilent,
     [](const Tally& tally) { return tally.lost_with_target; }},
    {"placed while draining", Fault::kPlacedWhileDraining,
     [](const Tally& tally) { return tally.late_placements; }},
    {"reset outside window", Fault::kResetOutsideWindow,
     [](const Tally& tally) { return tally.ignored_resets; }},
};

// A network without fault must leave every counter of faults at 0, or each run
// would blame the balancers for what the stand-ins do.
BOOST_AUTO_TEST_CASE(a_sound_network_shows_no_fault) {
  const Tally tally = Bench(Fault::kNone).Play();

  BOOST_TEST(tally.flows > 300);
  BOOST_TEST(tally.flows == tally.established);
  BOOST_TEST(tally.flows == tally.finished);
  BOOST_TEST(tally.requests == tally.answers);
  for (const Planted& row : kPlanted) {
    BOOST_TEST(row.counter(tally) == 0, row.name);
  }
  BOOST_TEST(tally.Broken() == 0);
  BOOST_TEST(tally.incomplete_answers == 0);
  BOOST_TEST(tally.failed_opens + tally.refused + tally.malformed == 0);
}

// Each fault that a balancer could have must show in the counter that names
// it. A judge that overlooks one would call a broken fleet sound.
BOOST_DATA_TEST_CASE(a_planted_fault_is_counted, kPlanted, row) {
  const Tally tally = Bench(row.fault).Play();

  BOOST_TEST(row.counter(tally) > 0);
}

// When a target itself fails, its flows end whatever the balancers do. Were
// they counted as broken, a good fleet would look bad on each such day.
BOOST_AUTO_TEST_CASE(flows_of_a_failed_target_are_not_called_broken) {
  const Tally tally = Bench(Fault::kTargetSilent).Play();

  BOOST_TEST(tally.lost_with_target >= 5);
  BOOST_TEST(tally.Broken() == 0);
}

// A request that may not run twice fails with its flow and is not repeated by
// the caller: a repeat would bill the vendor twice.
BOOST_AUTO_TEST_CASE(callers_repeat_only_what_may_run_twice) {
  const Tally tally = Bench(Fault::kBlackHole).Play();

  BOOST_TEST(tally.broken_timeout > 0);
  BOOST_TEST(tally.double_runs == 0);
}

BOOST_AUTO_TEST_CASE(imbalance_is_greatest_over_mean) {
  Bench bench(Fault::kNone);
  bench.Play();

  BOOST_TEST(bench.DiaryBalance().imbalance == kTargetsOfDiary);
}

}  // namespace
}  // namespace sassafrasdyke::rig
