#include "app/clock.h"

#include <ctime>

namespace sassafrasdyke::app {
namespace {

std::chrono::nanoseconds Read(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

}  // namespace

SystemClock::SystemClock() : start(Read(CLOCK_BOOTTIME)) {}

std::chrono::milliseconds SystemClock::Now() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      Read(CLOCK_BOOTTIME) - this->start);
}

std::chrono::milliseconds ThreadCpuTime() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      Read(CLOCK_THREAD_CPUTIME_ID));
}

}  // namespace sassafrasdyke::app
