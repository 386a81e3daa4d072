#pragma once

#include "Hemlockglade/Protocol/Statement/Statement.h"
#include "Hemlockglade/State/Catalog.h"

namespace hemlockglade {

/// A table; each row has one value per column.
struct RowSet {
  std::vector<std::string> Columns;
  std::vector<std::vector<FieldValue>> Rows;

  bool operator==(const RowSet &) const = default;
};

/// Returns an empty table with the columns of a subject.
RowSet rowsFor(ShowSubject subject);

/// Returns the rows that the statement selects: filtered by `where`, then
/// grouped by `by` into one row per value with a column `count`, largest count
/// first. `rows` must have the columns of the statement's subject.
RowSet selectRows(RowSet rows, const statement::Show &show);

/// Returns the rows of the subjects that depend on the catalog alone: adapters,
/// config, classes and pins; empty for the other subjects.
RowSet catalogRows(ShowSubject subject, const Catalog &catalog);

/// Formats a table as aligned text, with the column names in the first line.
std::string tableText(const RowSet &rows);

} // namespace hemlockglade
