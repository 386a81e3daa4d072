#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace hemlockglade {

/// A row of the platform's table. Versions are opaque except that they rise
/// with each change of the row, also after the table was restored to an earlier
/// state, and that 0 stands for a row that does not exist.
struct TableRow {
  std::string Key;
  std::uint64_t Version = 0;
  std::string Value;
};

/// One write of a transaction, applied only if the row has the expected
/// version.
struct TableWrite {
  std::string Key;
  /// Version that the row must have; 0 if it must not exist.
  std::uint64_t ExpectedVersion = 0;
  /// New value; nothing deletes the row.
  std::optional<std::string> Value;
};

/// A set of writes that take effect together or not at all.
struct TableTransaction {
  /// Identifies the transaction, so that a retry of it is recognized.
  std::string AttemptId;
  std::vector<TableWrite> Writes;
};

/// How a table operation failed.
enum class TableError : std::uint8_t {
  /// A row was not at its expected version; nothing was changed.
  Conflict,
  /// The request was not sent; nothing was changed.
  NotSent,
  /// No answer; the change may or may not have taken effect.
  Ambiguous,
};

template <typename T>
using TableCallback = std::function<void(tl::expected<T, TableError>)>;

/// The operations of the platform's transactional table that the coordination
/// layer uses. `Get`, `Scan` and `Commit` return at once and call `done` later,
/// on any thread.
struct TableHooks {
  /// Returns how often the table is known to have been restored to an earlier
  /// state, which loses its latest writes. May be empty if that never happens.
  std::function<std::uint64_t()> Era;
  std::function<void(std::string key,
                     TableCallback<std::optional<TableRow>> done)>
      Get;
  std::function<void(std::string prefix,
                     TableCallback<std::vector<TableRow>> done)>
      Scan;
  /// On success `done` receives the version that the written rows have now. A
  /// table with one version counter for all its rows may return a later one; a
  /// commit that expects it then conflicts, and the row has to be read.
  std::function<void(TableTransaction transaction,
                     TableCallback<std::uint64_t> done)>
      Commit;
};

} // namespace hemlockglade
