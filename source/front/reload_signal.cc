#include "front/reload_signal.h"

#include <csignal>

namespace sassafrasdyke::front {
namespace {

void ChangeReloadSignalMask(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  sigprocmask(how, &signals, nullptr);
}

}  // namespace

void BlockReloadSignal() { ChangeReloadSignalMask(SIG_BLOCK); }

void UnblockReloadSignal() { ChangeReloadSignalMask(SIG_UNBLOCK); }

}  // namespace sassafrasdyke::front
