#include "Hemlockglade/Protocol/Statement/Statement.h"

#include <algorithm>
#include <boost/spirit/home/x3.hpp>
#include <cassert>
#include <charconv>

namespace hemlockglade {

namespace {

namespace x3 = boost::spirit::x3;

constexpr std::uint32_t MaxCopies = 10'000;
constexpr const char *FieldLabel = "a field";
constexpr const char *SubjectLabel = "a subject";

// Tokens of the grammar. The name of a rule is the text that an error gives as
// expected. The character classes of Boost.Spirit assert on bytes outside of
// ASCII, which input from the network may contain, so that the character sets
// are written out.

const auto Space = x3::char_(" \t\r\n\v\f");
const auto NamePart = x3::char_("a-zA-Z0-9._-");
const auto NameToken = x3::raw[x3::lexeme[x3::char_("a-zA-Z0-9") >> *NamePart]];
const auto AdapterToken = x3::raw[x3::lexeme[+x3::char_("a-zA-Z0-9._@-")]];
const auto WordToken = x3::raw[x3::lexeme[+x3::char_("a-zA-Z0-9._@:/-")]];
const auto QuotedToken =
    x3::rule<struct QuotedTag, std::string>{"a quoted text"} =
        x3::lexeme['"' >> *(('\\' >> x3::char_) | ~x3::char_("\"\\")) >> '"'];

/// Matches a keyword that is not the start of a longer word. The argument has
/// quotes, because it is also the text that errors give as expected.
auto keyword(const char *quoted) {
  std::string text(quoted);
  text = text.substr(1, text.size() - 2);
  return x3::rule<struct KeywordTag>{quoted} =
             x3::lexeme[x3::lit(text) >> !NamePart];
}

/// Matches the end of the statement; otherwise fails at the current position
/// with the error text `expected`.
auto end(const char *expected) {
  return x3::eps > (x3::rule<struct EndTag>{expected} = x3::eoi);
}

/// Never matches: fails at the current position with the error text `expected`.
auto failExpecting(const char *expected) {
  return x3::eps > (x3::rule<struct FailTag>{expected} = !x3::eps);
}

struct ComparisonTable : x3::symbols<Comparison> {
  ComparisonTable() {
    for (auto it : {Comparison::Equal, Comparison::NotEqual, Comparison::Less,
                    Comparison::LessOrEqual, Comparison::Greater,
                    Comparison::GreaterOrEqual})
      add(std::string(comparisonName(it)), it);
  }
};

struct SubjectTable : x3::symbols<ShowSubject> {
  SubjectTable() {
    for (auto it : showSubjects())
      add(std::string(subjectName(it)), it);
  }
};

template <typename Context> std::string tokenText(const Context &context) {
  const auto &range = x3::_attr(context);
  return std::string(range.begin(), range.end());
}

/// Parses a whole number, a decimal number, `true`, `false` or a bare word.
/// Returns false if the word is none of these or the number is out of range.
bool parseWord(const std::string &word, FieldValue &out) {
  const auto *end = word.data() + word.size();
  std::int64_t whole = 0;
  auto [wholeEnd, ec] = std::from_chars(word.data(), end, whole);
  if (wholeEnd == end && ec == std::errc::result_out_of_range)
    return false;
  if (wholeEnd == end && ec == std::errc()) {
    out = whole;
    return true;
  }
  double decimal = 0;
  auto [decimalEnd, decimalEc] = std::from_chars(word.data(), end, decimal);
  bool hasPoint = word.find('.') != std::string::npos;
  if (hasPoint && decimalEnd == end && decimalEc == std::errc()) {
    out = decimal;
    return true;
  }
  if (word == "true" || word == "false")
    out = word == "true";
  else
    out = word;
  return std::isalnum(static_cast<unsigned char>(word.front())) != 0;
}

/// Builds a statement while the grammar matches it.
class StatementBuilder {
public:
  /// Parses the text into `Out`; throws x3::expectation_failure on an error.
  void parse(std::string_view text);
  /// Returns the error text for the name of a rule; for fields and subjects,
  /// the valid words are appended.
  std::string expected(const std::string &label) const;

  Statement Out;

private:
  auto name(const char *label, std::string &into);
  auto adapter();
  auto condition();
  auto show();
  auto load();
  auto pin();
  auto unpin();

  bool isField(const std::string &text) const;

  // Parts of all kinds of statement. Each holds the value that was parsed last
  // until the statement is complete.
  statement::Show CurrentShow;
  Condition CurrentCondition;
  AdapterRef Adapter;
  std::string Replica;
  std::string Domain;
  std::string Host;
  std::uint32_t Copies = 1;
};

bool StatementBuilder::isField(const std::string &text) const {
  auto fields = subjectFields(CurrentShow.Subject);
  return std::find(fields.begin(), fields.end(), text) != fields.end();
}

auto StatementBuilder::name(const char *label, std::string &into) {
  auto store = [&into](auto &context) { into = tokenText(context); };
  return x3::rule<struct NameTag>{label} = NameToken[store];
}

auto StatementBuilder::adapter() {
  auto store = [this](auto &context) {
    auto it = AdapterRef::parse(tokenText(context));
    x3::_pass(context) = it && it->Version > 0;
    if (it)
      Adapter = *it;
  };
  return x3::rule<struct AdapterTag>{
             "an adapter and version, such as oath-fr@7"} = AdapterToken[store];
}

auto StatementBuilder::condition() {
  static const ComparisonTable Comparisons;
  auto storeField = [this](auto &context) {
    CurrentCondition.Field = tokenText(context);
    x3::_pass(context) = isField(CurrentCondition.Field);
  };
  auto storeOperator = [this](auto &context) {
    CurrentCondition.Operator = x3::_attr(context);
  };
  auto storeText = [this](auto &context) {
    CurrentCondition.Value = x3::_attr(context);
  };
  auto storeWord = [this](auto &context) {
    x3::_pass(context) = parseWord(tokenText(context), CurrentCondition.Value);
  };
  auto storeCondition = [this](auto &) {
    CurrentShow.Where.push_back(CurrentCondition);
  };
  auto field = x3::rule<struct FieldTag>{FieldLabel} = NameToken[storeField];
  auto comparison = x3::rule<struct ComparisonTag>{"=, !=, <, <=, > or >="} =
      Comparisons[storeOperator];
  auto value = x3::rule<struct ValueTag>{"a word, a number or a quoted text"} =
      QuotedToken[storeText] | WordToken[storeWord];
  return (x3::eps > field > comparison > value)[storeCondition];
}

auto StatementBuilder::show() {
  static const SubjectTable Subjects;
  auto storeSubject = [this](auto &context) {
    CurrentShow.Subject = x3::_attr(context);
  };
  auto storeBy = [this](auto &context) {
    CurrentShow.By = tokenText(context);
    x3::_pass(context) = isField(CurrentShow.By);
  };
  auto subject = x3::rule<struct SubjectTag>{SubjectLabel} =
      x3::lexeme[Subjects[storeSubject] >> !NamePart];
  auto field = x3::rule<struct ByTag>{FieldLabel} = NameToken[storeBy];
  auto by = keyword("'by'") > field > end("the end of the statement");
  auto where = keyword("'where'") > condition() >
               *(keyword("'and'") > condition()) >
               (by | end("'and', 'by' or the end of the statement"));
  return keyword("'show'") > subject >
         (where | by | end("'where', 'by' or the end of the statement"));
}

auto StatementBuilder::load() {
  return keyword("'load'") > adapter() > keyword("'on'") >
         name("a replica's name", Replica) > end("the end of the statement");
}

auto StatementBuilder::pin() {
  auto store = [this](auto &context) {
    Copies = x3::_attr(context);
    x3::_pass(context) = Copies >= 1 && Copies <= MaxCopies;
  };
  auto number = x3::rule<struct CopiesTag>{"a number from 1 to 10000"} =
      x3::lexeme[x3::uint_[store] >> !NamePart];
  auto copies = keyword("'copies'") > number > end("the end of the statement");
  auto domain = keyword("'in'") > name("a failure domain", Domain) >
                (copies | end("'copies' or the end of the statement"));
  return keyword("'pin'") > adapter() >
         (domain | copies | end("'in', 'copies' or the end of the statement"));
}

auto StatementBuilder::unpin() {
  auto domain = keyword("'in'") > name("a failure domain", Domain) >
                end("the end of the statement");
  return keyword("'unpin'") > adapter() >
         (domain | end("'in' or the end of the statement"));
}

void StatementBuilder::parse(std::string_view text) {
  auto onShow = [this](auto &) { Out = CurrentShow; };
  auto onLoad = [this](auto &) { Out = statement::Load{Adapter, Replica}; };
  auto onPin = [this](auto &) {
    Out = statement::Pin{Adapter, Domain, Copies};
  };
  auto onUnpin = [this](auto &) { Out = statement::Unpin{Adapter, Domain}; };
  auto onDrain = [this](auto &) { Out = statement::Drain{Replica}; };
  auto onUndrain = [this](auto &) { Out = statement::Undrain{Replica}; };
  auto onStop = [this](auto &) { Out = statement::Stop{Host}; };
  auto replica = x3::eps > keyword("'replica'") >
                 name("a replica's name", Replica) >
                 end("the end of the statement");
  auto host = x3::eps > keyword("'host'") > name("a host's name", Host) >
              end("the end of the statement");
  auto grammar =
      show()[onShow] | load()[onLoad] | pin()[onPin] | unpin()[onUnpin] |
      (keyword("'drain'") > replica)[onDrain] |
      (keyword("'undrain'") > replica)[onUndrain] |
      (keyword("'stop'") > host)[onStop] |
      failExpecting("show, load, pin, unpin, drain, undrain or stop");
  [[maybe_unused]] bool matched =
      x3::phrase_parse(text.begin(), text.end(), grammar, Space);
  assert(matched);
}

std::string StatementBuilder::expected(const std::string &label) const {
  auto out = label;
  const char *separator = ": ";
  auto append = [&](std::string_view word) {
    out += separator + std::string(word);
    separator = ", ";
  };
  if (label == SubjectLabel) {
    for (auto it : showSubjects())
      append(subjectName(it));
  } else if (label == FieldLabel) {
    for (auto it : subjectFields(CurrentShow.Subject))
      append(it);
  }
  return out;
}

} // namespace

tl::expected<Statement, StatementError> parseStatement(std::string_view text) {
  StatementBuilder builder;
  try {
    builder.parse(text);
    return std::move(builder.Out);
  } catch (const x3::expectation_failure<std::string_view::iterator> &error) {
    auto at = static_cast<std::size_t>(error.where() - text.begin());
    while (at < text.size() &&
           std::isspace(static_cast<unsigned char>(text[at])))
      ++at;
    return tl::unexpected(
        StatementError{at + 1, builder.expected(error.which())});
  }
}

} // namespace hemlockglade
