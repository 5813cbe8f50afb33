/// Messages between tasks.
#include "app/mailbox.h"

#include <boost/test/unit_test.hpp>
#include <thread>

namespace sassafrasdyke::app {
namespace {

constexpr std::size_t kCapacity = 3;

BOOST_AUTO_TEST_CASE(keeps_the_order_across_threads) {
  ev::dynamic_loop loop;
  std::vector<int> taken;
  Mailbox<int> mail(loop, 1000, [&](int message) {
    taken.push_back(message);
    if (message == 99) {
      loop.break_loop(ev::ALL);
    }
  });

  std::thread sender([&] {
    for (int message = 0; message < 100; ++message) {
      mail.Offer(message);
    }
  });
  loop.run();
  sender.join();

  BOOST_TEST(taken.size() == 100U);
  BOOST_TEST(std::is_sorted(taken.begin(), taken.end()));
}

// One task hangs while its neighbour goes on. Messages that their protocol
// repeats are lost and counted; memory doesn't grow. Those that must arrive do.
BOOST_AUTO_TEST_CASE(a_hanging_task_costs_only_what_is_repeated) {
  ev::dynamic_loop loop;
  std::vector<int> taken;
  Mailbox<int> mail(loop, kCapacity,
                    [&](int message) { taken.push_back(message); });
  for (int message = 0; message < 10; ++message) {
    mail.Offer(message);
  }
  mail.Post(77);

  loop.run(ev::NOWAIT);

  BOOST_TEST(mail.Dropped() == 7U);
  BOOST_TEST(taken == (std::vector<int>{0, 1, 2, 77}),
             boost::test_tools::per_element());
}

}  // namespace
}  // namespace sassafrasdyke::app
