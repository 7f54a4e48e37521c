#pragma once

#include "Controllers/KeyedEdit.h"
#include "Controllers/TableKeys.h"

#include <set>

namespace ragwortdeck {

/// \brief One wanted change of a cell.
struct CellEdit
{
  RowAddress mRow;
  /// Empty to delete the whole row; mValue is then ignored.
  std::string mColumn;
  /// Nothing unsets the cell.
  std::optional<std::string> mValue = std::nullopt;
  /// When mGuarded, the value that the cell must have now.
  std::optional<std::string> mExpected = std::nullopt;
  bool mGuarded = false;
};

/// \brief What became of an import, part by part.
struct ImportReport
{
  /// One outcome per part that was tried, in order. An import stops at the
  /// first part that is neither accepted nor unchanged.
  std::vector<EditOutcome> mParts;
  /// Rows of each part, also of those not tried.
  std::vector<std::vector<RowAddress>> mRows;

  bool IsComplete() const;
};

/// \brief Edits of the operators' table and marks of hosts, by compare-and-swap
/// (section 8 of docs/design.md).
///
/// An edit is based on the values that its cells had when it was started, or
/// on those that the caller expects. Edits of different cells all succeed; of
/// two edits of the same cell one succeeds, the other ends as a conflict.
class TableEditor
{
public:
  /// Rows of one transaction: each row takes one compare and one operation,
  /// besides those of the head and the edit record, and etcd refuses more than
  /// 128 of either by default.
  static constexpr std::size_t kMaxRowsPerEdit = 100;
  /// Estimated bytes of one transaction; etcd refuses requests over 1.5 MB,
  /// and base64 adds a third.
  static constexpr std::size_t kMaxBytesPerEdit = 700'000;

  using Done = std::function<void(EditOutcome)>;

  TableEditor(Scheduler& aScheduler,
              KeyValueStore& aStore,
              RandomSource aRandom,
              std::string aAuthor,
              EditLimits aLimits = {});
  /// Abandons edits in progress; their callbacks are dropped.
  ~TableEditor();
  TableEditor(const TableEditor&) = delete;
  TableEditor& operator=(const TableEditor&) = delete;

  /// All cells in one transaction, or none.
  void Edit(std::vector<CellEdit> aCells, Done aDone);
  /// Splits the cells into as few edits as the limits of a transaction permit
  /// and applies them in order. A row is never split.
  void Import(std::vector<CellEdit> aCells,
              std::function<void(ImportReport)> aDone);
  /// Sets or, with nothing, clears the mark of a host: "joining" or "leaving".
  /// A joining mark may carry what the host list would say of the host: "role",
  /// "address", "failure_domain", "models" (separated by ';') and
  /// "checks_fencing".
  void MarkHost(const std::string& aHost,
                const std::optional<std::string>& aState,
                Done aDone,
                const std::map<std::string, std::string>& aDetails = {});

  /// Groups cells by row into parts for Import; each part is within the limits
  /// of one transaction.
  static std::vector<std::vector<CellEdit>> SplitImport(
    const std::vector<CellEdit>& aCells);

private:
  struct ImportRun;

  void Submit(std::vector<CellEdit> aCells,
              std::uint32_t aPart,
              std::uint32_t aParts,
              Done aDone);
  void RunPart(const std::shared_ptr<ImportRun>& aRun);
  void Start(KeyedEdit::Spec aSpec, Done aDone);
  void Refuse(std::string aMessage, Done aDone);
  EditRecord NewRecord();

  Scheduler& mScheduler;
  KeyValueStore& mStore;
  RandomSource mRandom;
  std::string mAuthor;
  EditLimits mLimits;
  std::shared_ptr<char> mAlive;
  std::vector<std::weak_ptr<KeyedEdit>> mEdits;
};

/// \brief An operator's mark of a host with its author, as stored under
/// /ragwort/hosts/<host>; TableWatcher reads the same JSON for the hosts.
struct StoredHostMark
{
  std::string mHost;
  bool mLeaving = false;
  std::map<std::string, std::string> mDetails;
  std::string mAuthor;
  WallTime mTime;

  bool operator==(const StoredHostMark&) const = default;
};

/// "leaving", or "joining address=127.0.0.1:9001 role=engine".
std::string
ToText(const StoredHostMark& aMark);

/// The mark in a key of TableKeys::kHostPrefix.
Result<StoredHostMark>
HostMarkFromKey(const KeyValue& aKey);

} // namespace ragwortdeck
