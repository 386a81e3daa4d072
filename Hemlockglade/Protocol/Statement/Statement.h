#pragma once

#include "Hemlockglade/Protocol/Statement/FieldValue.h"
#include "Hemlockglade/State/Ids.h"

#include <span>
#include <tl/expected.hpp>
#include <vector>

namespace hemlockglade {

/// What `show` can be asked for.
enum class ShowSubject : std::uint8_t {
  /// Adapters on replicas.
  Loaded,
  /// Requests that wait, by adapter and class.
  Waiting,
  /// Requests that run, by replica and adapter.
  Running,
  Nodes,
  Cells,
  Replicas,
  Adapters,
  /// The configuration in force, in one row.
  Config,
  /// Each request that is here.
  Requests,
  Classes,
  Pins,
};

/// All subjects.
std::span<const ShowSubject> showSubjects();
/// The subject's word in a statement.
std::string_view subjectName(ShowSubject subject);
/// The fields of the subject's rows, in the order of their columns.
std::span<const std::string_view> subjectFields(ShowSubject subject);

/// How a condition compares.
enum class Comparison : std::uint8_t {
  Equal,
  NotEqual,
  Less,
  LessOrEqual,
  Greater,
  GreaterOrEqual,
};

/// The operators of the comparisons: `=`, `!=`, `<`, `<=`, `>`, `>=`.
std::string_view comparisonName(Comparison comparison);

/// `FIELD OP VALUE`.
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
  /// All must hold.
  std::vector<Condition> Where;
  /// Field to group by; empty for none.
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
  /// Empty for anywhere.
  std::string FailureDomain;
  std::uint32_t Copies = 1;

  bool operator==(const Pin &) const = default;
};

/// `unpin ADAPTER@VERSION [in FAILURE-DOMAIN]`
struct Unpin {
  AdapterRef Adapter;
  /// Empty for the pin that names none.
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

/// `stop host NAME`: a graceful stop of the node of that name.
struct Stop {
  std::string Host;

  bool operator==(const Stop &) const = default;
};

} // namespace statement

/// One statement of an operator.
using Statement = std::variant<statement::Show, statement::Load, statement::Pin,
                               statement::Unpin, statement::Drain,
                               statement::Undrain, statement::Stop>;

/// Where a statement is wrong.
struct StatementError {
  /// Column of the first character that is not as expected, from 1.
  std::size_t Column = 1;
  /// What should stand there.
  std::string Expected;

  /// The error as text: `column 6: expected ...`.
  std::string text() const;
};

/// Reads one statement.
tl::expected<Statement, StatementError> parseStatement(std::string_view text);

/// The statement as text; parsing it gives an equal one.
std::string statementText(const Statement &statement);

/// Whether the statement only asks.
bool isQuery(const Statement &statement);

} // namespace hemlockglade
