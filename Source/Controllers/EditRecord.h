#pragma once

#include "Core/Clock.h"
#include "Core/RandomSource.h"
#include "Core/Result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief One changed cell; a missing value means that the cell is not set.
struct CellDelta
{
  /// A sheet of the table, or "hosts" for a host mark.
  std::string mSheet;
  std::string mRow;
  std::string mColumn;
  std::optional<std::string> mOld;
  std::optional<std::string> mNew;

  bool operator==(const CellDelta&) const = default;
};

/// \brief What one edit changed, as stored under /ragwort/edits/<id>.
struct EditRecord
{
  /// UTC time and a random number, so that keys sort by time and a prefix
  /// selects a day: "20261204T041530123Z-0123456789abcdef".
  std::string mId;
  std::string mAuthor;
  WallTime mTime;
  /// Table version that the edit produced; 0 for host marks and cancelled
  /// edits.
  std::uint64_t mVersion = 0;
  /// The edit was settled as not applied and can no longer be applied.
  bool mCancelled = false;
  /// Part of an import that was split, from 1 to mParts.
  std::uint32_t mPart = 1;
  std::uint32_t mParts = 1;
  std::vector<CellDelta> mCells;

  bool operator==(const EditRecord&) const = default;
};

std::string
ToJson(const EditRecord& aRecord);

Result<EditRecord>
EditRecordFromJson(const std::string& aJson);

std::string
NewEditId(WallTime aNow, RandomSource& aRandom);

/// The time in an edit id; nothing when the text is not an edit id.
std::optional<WallTime>
TimeOfEditId(const std::string& aId);

/// "20261204", the prefix of the ids of a UTC day.
std::string
EditDay(WallTime aTime);

} // namespace ragwortdeck
