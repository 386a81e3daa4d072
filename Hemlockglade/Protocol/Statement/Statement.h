#pragma once

#include "Hemlockglade/Protocol/Statement/FieldValue.h"
#include "Hemlockglade/State/Ids.h"

#include <span>
#include <tl/expected.hpp>
#include <vector>

namespace hemlockglade {

/// Subjects of `show` statements.
enum class ShowSubject : std::uint8_t {
  /// Adapters on replicas.
  Loaded,
  /// Waiting requests, by adapter and class.
  Waiting,
  /// Running requests, by replica and adapter.
  Running,
  Nodes,
  Cells,
  Replicas,
  Adapters,
  /// The configuration in force, in one row.
  Config,
  /// Every request that waits or runs.
  Requests,
  Classes,
  Pins,
};

/// Returns all subjects.
std::span<const ShowSubject> showSubjects();
/// Returns the keyword of a subject in statements.
std::string_view subjectName(ShowSubject subject);
/// Returns the fields of a subject's rows, in the order of the columns.
std::span<const std::string_view> subjectFields(ShowSubject subject);

/// Comparison operator of a condition.
enum class Comparison : std::uint8_t {
  Equal,
  NotEqual,
  Less,
  LessOrEqual,
  Greater,
  GreaterOrEqual,
};

/// Returns the operator as written: `=`, `!=`, `<`, `<=`, `>` or `>=`.
std::string_view comparisonName(Comparison comparison);

/// One condition of a `where` clause: `FIELD OP VALUE`.
struct Condition {
  std::string Field;
  Comparison Operator = Comparison::Equal;
  FieldValue Value;

  bool operator==(const Condition &) const = default;
};

/// The kinds of statement, one struct each.
namespace statement {

/// `show SUBJECT [where CONDITION [and CONDITION ...]] [by FIELD]`
struct Show {
  ShowSubject Subject = ShowSubject::Loaded;
  /// Conditions, all of which a row must satisfy.
  std::vector<Condition> Where;
  /// Field to group by; empty for no grouping.
  std::string By;

  bool operator==(const Show &) const = default;
};

/// `load ADAPTER@VERSION on REPLICA`
struct Load {
  AdapterRef Adapter;
  std::string Replica;

  bool operator==(const Load &) const = default;
};

/// `pin ADAPTER@VERSION [in FAILURE-DOMAIN] [copies N]`
struct Pin {
  AdapterRef Adapter;
  /// Empty for any failure domain.
  std::string FailureDomain;
  std::uint32_t Copies = 1;

  bool operator==(const Pin &) const = default;
};

/// `unpin ADAPTER@VERSION [in FAILURE-DOMAIN]`
struct Unpin {
  AdapterRef Adapter;
  /// Empty for the pin that was set without a failure domain.
  std::string FailureDomain;

  bool operator==(const Unpin &) const = default;
};

/// `drain replica NAME`
struct Drain {
  std::string Replica;

  bool operator==(const Drain &) const = default;
};

/// `undrain replica NAME`
struct Undrain {
  std::string Replica;

  bool operator==(const Undrain &) const = default;
};

/// `stop host NAME`: a graceful stop of the node with that name.
struct Stop {
  std::string Host;

  bool operator==(const Stop &) const = default;
};

} // namespace statement

/// One statement of an operator.
using Statement = std::variant<statement::Show, statement::Load, statement::Pin,
                               statement::Unpin, statement::Drain,
                               statement::Undrain, statement::Stop>;

/// Syntax error of a statement.
struct StatementError {
  /// Column of the first unexpected character, starting at 1.
  std::size_t Column = 1;
  /// What is valid at that column.
  std::string Expected;

  /// Returns the error as text: `column 6: expected ...`.
  std::string text() const;
};

/// Parses one statement.
tl::expected<Statement, StatementError> parseStatement(std::string_view text);

/// Formats a statement as text; parsing the text gives an equal statement.
std::string statementText(const Statement &statement);

/// Returns whether the statement only reads state and changes nothing.
bool isQuery(const Statement &statement);

} // namespace hemlockglade
