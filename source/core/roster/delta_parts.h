/// Splits changes into parts that each fit into one digest.
///
/// While many targets start and stop, the changes of one second don't fit into
/// one digest. As copies, they would cost each member of a large failure domain
/// a connection and a round trip every second, all to the same sender. On a
/// slow link the packets of the sender's clients would queue behind the copies.
#pragma once

#include <vector>

#include "core/view/item_store.h"

namespace sassafrasdyke::core {

/// The changes after `have`, in consecutive parts. Empty if there are none, or
/// if they must be fetched as a copy: because removal marks after `have` have
/// been dropped, the changes of one revision exceed a part, or there are too
/// many.
std::vector<ItemDelta> PartsSince(const ItemStore& items,
                                  common::Revision have);

}  // namespace sassafrasdyke::core
