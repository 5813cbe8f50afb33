/// Blocking of SIGHUP, which makes a running instance reload its settings.
#pragma once

namespace sassafrasdyke::front {

/// Blocks SIGHUP, whose default action would terminate an instance that
/// receives it during startup.
void BlockReloadSignal();
/// Unblocks SIGHUP and delivers a pending one. Call it only after a handler is
/// installed.
void UnblockReloadSignal();

}  // namespace sassafrasdyke::front
