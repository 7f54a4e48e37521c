#pragma once

#include "Core/SiteView.h"
#include "Platform/KeyValueStore.h"

namespace ragwortdeck {

/// The whole table at one version, from one range over
/// TableKeys::kTablePrefix; a range reply shows one revision, so rows and head
/// belong together. An empty reply is the table of version 0. Fails with
/// kCorrupt when a row is invalid, when a key is not of the table, or when
/// rows exist without a head; a host then keeps the table it has.
Result<Table>
TableFromKeys(const KeyRangeReply& aReply);

/// The table after one watched revision. A batch without the head, or with a
/// head that is not newer, leaves the table as it is. A batch whose head skips
/// a version is kConflict: the caller reads the whole table again.
Result<Table>
TableAfter(const Table& aTable, const KeyEventBatch& aBatch);

} // namespace ragwortdeck
