#include "Hemlockglade/Protocol/Protocol.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hemlockglade;

namespace {

template <typename T> T pick(std::span<const T> list) {
  return list[*rc::gen::inRange<std::size_t>(0, list.size())];
}

std::string name() {
  static const std::vector<std::string> Names = {
      "a", "in", "copies", "oath-fr", "7", "by", "hall-a.1_x", "1.5"};
  return pick(std::span<const std::string>(Names));
}

AdapterRef adapter() {
  return {name(), *rc::gen::inRange<std::uint32_t>(1, 1U << 31)};
}

FieldValue value() {
  switch (*rc::gen::inRange(0, 5)) {
  case 0:
    return *rc::gen::arbitrary<std::string>();
  case 1:
    return *rc::gen::arbitrary<std::int64_t>();
  case 2:
    return *rc::gen::arbitrary<double>();
  case 3:
    return *rc::gen::element(1e300, 5e-324, -0.25, 3.0);
  default:
    return *rc::gen::arbitrary<bool>();
  }
}

statement::Show anyShow() {
  statement::Show show;
  show.Subject = pick(showSubjects());
  auto fields = subjectFields(show.Subject);
  for (auto n = *rc::gen::inRange(0, 4); n > 0; --n)
    show.Where.push_back({std::string(pick(fields)),
                          Comparison(*rc::gen::inRange(0, 6)), value()});
  if (*rc::gen::arbitrary<bool>())
    show.By = pick(fields);
  return show;
}

Statement anyStatement() {
  auto domain = *rc::gen::arbitrary<bool>() ? name() : "";
  switch (*rc::gen::inRange(0, 7)) {
  case 0:
    return statement::Load{adapter(), name()};
  case 1:
    return statement::Pin{adapter(), domain,
                          *rc::gen::inRange<std::uint32_t>(1, 10001)};
  case 2:
    return statement::Unpin{adapter(), domain};
  case 3:
    return statement::Drain{name()};
  case 4:
    return statement::Undrain{name()};
  case 5:
    return statement::Stop{name()};
  default:
    return anyShow();
  }
}

} // namespace

TEST_CASE("a statement that is printed and parsed is unchanged",
          "[statement]") {
  auto passed = rc::check("parse(text(x)) == x", [] {
    auto statement = anyStatement();
    auto text = statementText(statement);
    auto parsed = parseStatement(text);
    if (!parsed)
      RC_FAIL(text + " " + parsed.error().text());
    RC_ASSERT(*parsed == statement);
    RC_ASSERT(statementText(*parsed) == text);
  });
  REQUIRE(passed);
}

TEST_CASE("equivalent spellings of a statement give the same canonical text",
          "[statement]") {
  struct Case {
    const char *Text;
    const char *Canonical;
  };
  auto it = GENERATE(values<Case>(
      {{"show loaded where replica = \"assistant-3\"",
        "show loaded where replica = \"assistant-3\""},
       {"  show\tloaded  where replica=assistant-3 and running>=2 by adapter ",
        "show loaded where replica = \"assistant-3\" and running >= 2 by "
        "adapter"},
       {"show waiting by adapter", "show waiting by adapter"},
       {"show nodes where address = 10.0.0.1:80",
        "show nodes where address = \"10.0.0.1:80\""},
       {"show cells where cell = assistant/0 and epoch < -1.50",
        "show cells where cell = \"assistant/0\" and epoch < -1.5"},
       {"load oath-fr@7 on assistant-3", "load oath-fr@7 on assistant-3"},
       {"pin oath-fr@7", "pin oath-fr@7 copies 1"},
       {"pin oath-fr@7 copies 2", "pin oath-fr@7 copies 2"},
       {"pin oath-fr@7 in hall-a copies 2", "pin oath-fr@7 in hall-a copies 2"},
       {"unpin oath-fr@7 in hall-a", "unpin oath-fr@7 in hall-a"},
       {"drain replica assistant-3", "drain replica assistant-3"},
       {"undrain replica assistant-3", "undrain replica assistant-3"},
       {"stop host entry-2", "stop host entry-2"}}));
  auto statement = parseStatement(it.Text);
  INFO(it.Text << ' ' << (statement ? "" : statement.error().text()));
  REQUIRE(statement);
  CHECK(statementText(*statement) == it.Canonical);
}

TEST_CASE("a syntax error gives the column and what was expected",
          "[statement]") {
  struct Case {
    const char *Text;
    std::size_t Column;
    const char *Expected;
  };
  auto it = GENERATE(values<Case>(
      {{"", 1, "show, load, pin, unpin, drain, undrain or stop"},
       {"shwo loaded", 1, "show, load, pin, unpin, drain, undrain or stop"},
       {"\xc8how loaded", 1, "show, load, pin, unpin"},
       {"show \xc8", 6, "a subject: loaded"},
       {"show loaded where cell = \xc8", 26, "a word, a number or a quoted"},
       {"stop host a\xa0", 12, "the end of the statement"},
       {"showloaded", 1, "show, load, pin, unpin, drain, undrain or stop"},
       {"show", 5, "a subject: loaded, waiting, running, nodes, cells, "},
       {"show  loadeds", 7, "a subject: loaded"},
       {"show loaded replica", 13, "'where', 'by' or the end"},
       {"show loaded where", 18, "a field: cell, replica, failure_domain, "},
       {"show loaded where node = 1", 19, "a field: cell, replica"},
       {"show loaded by node", 16, "a field: cell, replica"},
       {"show loaded by cell by cell", 21, "the end of the statement"},
       {"show loaded where cell ~ 1", 24, "=, !=, <, <=, > or >="},
       {"show loaded where cell = ", 26, "a word, a number or a quoted text"},
       {"show loaded where cell = \"x", 26, "a word, a number or a quoted"},
       {"show loaded where cell = -x", 26, "a word, a number or a quoted"},
       {"show loaded where running = 99999999999999999999", 29, "a word, "},
       {"show loaded where cell = a or", 28, "'and', 'by' or the end"},
       {"show loaded where cell = a and", 31, "a field: cell"},
       {"load oath-fr on a-1", 6, "an adapter and version, such as oath-fr@7"},
       {"load oath-fr@0 on a-1", 6, "an adapter and version"},
       {"load oath-fr@7 at a-1", 16, "'on'"},
       {"load oath-fr@7 on", 18, "a replica's name"},
       {"load oath-fr@7 on a-1 now", 23, "the end of the statement"},
       {"pin oath-fr@7 at", 15, "'in', 'copies' or the end"},
       {"pin oath-fr@7 in", 17, "a failure domain"},
       {"pin oath-fr@7 in hall-a 2", 25, "'copies' or the end"},
       {"pin oath-fr@7 copies 0", 22, "a number from 1 to 10000"},
       {"pin oath-fr@7 copies 2x", 22, "a number from 1 to 10000"},
       {"unpin oath-fr@7 copies", 17, "'in' or the end of the statement"},
       {"drain assistant-3", 7, "'replica'"},
       {"drain replica", 14, "a replica's name"},
       {"stop replica a", 6, "'host'"},
       {"stop host a b", 13, "the end of the statement"}}));
  INFO(it.Text);
  auto statement = parseStatement(it.Text);
  REQUIRE_FALSE(statement);
  CHECK(statement.error().Column == it.Column);
  CHECK_THAT(statement.error().Expected, Catch::StartsWith(it.Expected));
}

TEST_CASE("a corrupted statement gives a statement or an error inside the text",
          "[statement]") {
  auto passed = rc::check("an error's column is inside the text", [] {
    auto text = statementText(anyStatement());
    auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text[at] = *rc::gen::arbitrary<char>();
    auto statement = parseStatement(text);
    if (!statement)
      RC_ASSERT(statement.error().Column <= text.size() + 1);
  });
  REQUIRE(passed);
}
