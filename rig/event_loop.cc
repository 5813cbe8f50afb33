#include "rig/event_loop.h"

#include <algorithm>
#include <chrono>

namespace sassafrasdyke::rig {

void EventLoop::Run() {
  this->began = ev_time();
  this->prepare.set<EventLoop, &EventLoop::OnPrepare>(this);
  this->prepare.start();
  this->timer.set<EventLoop, &EventLoop::OnTimer>(this);
  ev::get_default_loop().run();
}

void EventLoop::Stop() { ev::get_default_loop().break_loop(ev::ALL); }

void EventLoop::CatchUp() {
  const std::chrono::duration<double> elapsed(ev_time() - this->began);
  this->scheduler.RunUntil(
      std::chrono::duration_cast<std::chrono::microseconds>(elapsed));
}

void EventLoop::OnPrepare(ev::prepare& /*watcher*/, int /*events*/) {
  this->CatchUp();
  if (const auto due = this->scheduler.NextDue()) {
    const double at = std::chrono::duration<double>(*due).count();
    this->timer.stop();
    // libev counts from the time of the loop's last wake-up.
    ev_now_update(EV_DEFAULT_UC);
    this->timer.start(std::max(0.0, at - (ev_time() - this->began)));
  }
}

void EventLoop::OnTimer(ev::timer& /*watcher*/, int /*events*/) {
  this->CatchUp();
}

}  // namespace sassafrasdyke::rig
