#include "Hemlockglade/Protocol/Statement/StatementRows.h"

#include <algorithm>
#include <cassert>

namespace hemlockglade {

namespace {

struct ValueLess {
  bool operator()(const FieldValue &left, const FieldValue &right) const {
    return valueLess(left, right);
  }
};

bool isSatisfied(const FieldValue &left, Comparison comparison,
                 const FieldValue &right) {
  bool less = valueLess(left, right);
  bool greater = valueLess(right, left);
  switch (comparison) {
  case Comparison::Equal:
    return !less && !greater;
  case Comparison::NotEqual:
    return less || greater;
  case Comparison::Less:
    return less;
  case Comparison::LessOrEqual:
    return !greater;
  case Comparison::Greater:
    return greater;
  case Comparison::GreaterOrEqual:
    break;
  }
  return !less;
}

std::size_t columnOf(const RowSet &rows, const std::string &field) {
  auto it = std::find(rows.Columns.begin(), rows.Columns.end(), field);
  assert(it != rows.Columns.end());
  return static_cast<std::size_t>(it - rows.Columns.begin());
}

void filter(RowSet &rows, const Condition &condition) {
  auto column = columnOf(rows, condition.Field);
  std::erase_if(rows.Rows, [&](const auto &row) {
    return !isSatisfied(row[column], condition.Operator, condition.Value);
  });
}

RowSet group(const RowSet &rows, const std::string &field) {
  auto column = columnOf(rows, field);
  std::map<FieldValue, std::int64_t, ValueLess> counts;
  for (const auto &row : rows.Rows)
    ++counts[row[column]];
  RowSet out{{field, "count"}, {}};
  for (const auto &[value, count] : counts)
    out.Rows.push_back({value, count});
  std::stable_sort(out.Rows.begin(), out.Rows.end(),
                   [](const auto &left, const auto &right) {
                     return valueLess(right[1], left[1]);
                   });
  return out;
}

/// Converts an integer to a field value.
template <typename T> FieldValue integerValue(T count) {
  return static_cast<std::int64_t>(count);
}

void addAdapters(RowSet &out, const Catalog &catalog) {
  for (const auto &[name, it] : catalog.Adapters) {
    std::string versions;
    for (auto version : it.Versions)
      versions += (versions.empty() ? "" : ",") + std::to_string(version);
    out.Rows.push_back({name, it.Service, integerValue(it.Current), versions});
  }
  std::sort(out.Rows.begin(), out.Rows.end());
}

void addConfig(RowSet &out, const Catalog &catalog) {
  out.Rows.push_back(
      {integerValue(catalog.Number), integerValue(catalog.Services.size()),
       integerValue(catalog.Replicas.size()),
       integerValue(catalog.Adapters.size()),
       integerValue(catalog.Classes.size()), integerValue(catalog.Rules.size()),
       integerValue(catalog.Pins.size()),
       integerValue(catalog.Drained.size())});
}

void addClasses(RowSet &out, const Catalog &catalog) {
  for (const auto &[name, it] : catalog.Classes) {
    auto deadline =
        std::chrono::duration_cast<std::chrono::milliseconds>(it.Deadline);
    out.Rows.push_back({name, integerValue(it.Priority),
                        integerValue(deadline.count()),
                        integerValue(it.QueueLimit)});
  }
}

void addPins(RowSet &out, const Catalog &catalog) {
  for (const auto &[name, it] : catalog.Pins)
    out.Rows.push_back(
        {it.Adapter.text(), it.FailureDomain, integerValue(it.Copies)});
}

std::string padded(std::string text, std::size_t width) {
  text.resize(std::max(width, text.size()), ' ');
  return text;
}

std::string tableLine(const std::vector<std::string> &cells,
                      const std::vector<std::size_t> &widths) {
  std::string out;
  for (std::size_t it = 0; it < cells.size(); ++it)
    out += (it == 0 ? "" : "  ") + padded(cells[it], widths[it]);
  out.erase(out.find_last_not_of(' ') + 1);
  return out + '\n';
}

} // namespace

RowSet rowsFor(ShowSubject subject) {
  auto fields = subjectFields(subject);
  return {{fields.begin(), fields.end()}, {}};
}

RowSet selectRows(RowSet rows, const statement::Show &show) {
  for (const auto &condition : show.Where)
    filter(rows, condition);
  return show.By.empty() ? std::move(rows) : group(rows, show.By);
}

RowSet catalogRows(ShowSubject subject, const Catalog &catalog) {
  auto out = rowsFor(subject);
  if (subject == ShowSubject::Adapters)
    addAdapters(out, catalog);
  else if (subject == ShowSubject::Config)
    addConfig(out, catalog);
  else if (subject == ShowSubject::Classes)
    addClasses(out, catalog);
  else if (subject == ShowSubject::Pins)
    addPins(out, catalog);
  return out;
}

std::string tableText(const RowSet &rows) {
  std::vector<std::vector<std::string>> cells = {rows.Columns};
  for (const auto &row : rows.Rows) {
    auto &texts = cells.emplace_back();
    for (const auto &value : row)
      texts.push_back(valueText(value));
  }
  std::vector<std::size_t> widths(rows.Columns.size(), 0);
  for (const auto &texts : cells) {
    for (std::size_t it = 0; it < texts.size(); ++it)
      widths[it] = std::max(widths[it], texts[it].size());
  }
  std::string out;
  for (const auto &texts : cells)
    out += tableLine(texts, widths);
  return out;
}

} // namespace hemlockglade
