/// Changes cut into parts that each fit into one digest.
///
/// While many targets come and go, the changes of a second don't fit into one.
/// Taken as copies they would cost each member of a large failure domain a
/// connection and a round trip every second, all from the one that told them,
/// and on a small link its clients' packets would wait behind the copies.
#pragma once

#include <vector>

#include "core/view/item_store.h"

namespace sassafrasdyke::core {

/// The changes after `have`, in parts that follow each other. Nothing when
/// there are none, or when they have to be taken as a copy: because too much
/// was forgotten, one of them is too large, or they are too many.
std::vector<ItemDelta> PartsSince(const ItemStore& items,
                                  common::Revision have);

}  // namespace sassafrasdyke::core
