#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace hemlockglade {

/// A row of the platform's table. Versions are opaque but for two things: they
/// rise with each change of the row, also when the table comes back older than
/// it was, and 0 stands for no row.
struct TableRow {
  std::string Key;
  std::uint64_t Version = 0;
  std::string Value;
};

/// One write of a transaction, applied only if the row is at the version.
struct TableWrite {
  std::string Key;
  /// Version the row must have; 0 if it must not exist.
  std::uint64_t ExpectedVersion = 0;
  /// New value; nothing deletes the row.
  std::optional<std::string> Value;
};

/// A set of writes that take effect together or not at all.
struct TableTransaction {
  /// Makes a repeat recognisable as the same transaction.
  std::string AttemptId;
  std::vector<TableWrite> Writes;
};

/// How a table operation failed.
enum class TableError : std::uint8_t {
  /// A row was not at its expected version; nothing was changed.
  Conflict,
  /// The request never left; nothing was changed.
  NotSent,
  /// No answer; the change may or may not have taken effect.
  Ambiguous,
};

template <typename T>
using TableCallback = std::function<void(tl::expected<T, TableError>)>;

/// The platform's transactional table as the coordination layer sees it.
/// Every function returns at once and calls back later, on any thread.
struct TableHooks {
  /// How often the table is known to have come back older than it was: what was
  /// written last before that is gone. May be empty if it never does.
  std::function<std::uint64_t()> Era;
  std::function<void(std::string key,
                     TableCallback<std::optional<TableRow>> done)>
      Get;
  std::function<void(std::string prefix,
                     TableCallback<std::vector<TableRow>> done)>
      Scan;
  /// Success tells the version that the written rows have now. A table that
  /// counts all its changes together may tell a later one; a commit on it then
  /// conflicts, and the row has to be read.
  std::function<void(TableTransaction transaction,
                     TableCallback<std::uint64_t> done)>
      Commit;
};

} // namespace hemlockglade
