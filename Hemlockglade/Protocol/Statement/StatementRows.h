#pragma once

#include "Hemlockglade/Protocol/Statement/Statement.h"
#include "Hemlockglade/State/Catalog.h"

namespace hemlockglade {

/// A table: each row has one value a column.
struct RowSet {
  std::vector<std::string> Columns;
  std::vector<std::vector<FieldValue>> Rows;

  bool operator==(const RowSet &) const = default;
};

/// An empty table with the columns of a subject.
RowSet rowsFor(ShowSubject subject);

/// The rows that the statement asks for: filtered by `where`, then grouped by
/// `by` into one row a value with a column `count`, most first. The given rows
/// have the columns of the statement's subject.
RowSet selectRows(RowSet rows, const statement::Show &show);

/// The rows of what the configuration alone tells: adapters, config, classes
/// and pins; empty for the other subjects.
RowSet catalogRows(ShowSubject subject, const Catalog &catalog);

/// The table as aligned text with a line of column names.
std::string tableText(const RowSet &rows);

} // namespace hemlockglade
