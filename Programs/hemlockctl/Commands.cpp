#include "Commands.h"

#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace hemlockglade {

namespace {

constexpr std::size_t CommandIdBytes = 16;
/// Interval between two queries for the revisions that nodes have in force.
constexpr Span InForcePollInterval = std::chrono::milliseconds(200);

std::string newCommandId() {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::random_device device;
  std::uniform_int_distribution<std::size_t> digit(0, Digits.size() - 1);
  std::string id;
  for (std::size_t it = 0; it < 2 * CommandIdBytes; ++it)
    id += Digits[digit(device)];
  return id;
}

void printError(const std::string &text) {
  std::cerr << "hemlockctl: " << text << '\n';
}

/// Prints a statement with a mark below the column that is wrong.
void printStatementError(const std::string &statement, std::size_t column,
                         const std::string &text) {
  std::cerr << statement << '\n'
            << std::string(column - 1, ' ') << "^\n"
            << "column " << column << ": " << text << '\n';
}

tl::expected<std::string, ExitCode> readFile(const std::string &name) {
  std::ifstream file(name);
  std::ostringstream text;
  text << file.rdbuf();
  if (file)
    return text.str();
  printError("can't read " + name);
  return tl::unexpected(ExitCode::Usage);
}

/// Reads a file and checks its declarations before they are sent anywhere.
tl::expected<std::string, ExitCode> readChecked(const std::string &name) {
  auto text = readFile(name);
  if (!text)
    return text;
  auto catalog = checkDeclarations(*text, name);
  if (catalog)
    return text;
  std::cerr << faultText(catalog.error());
  return tl::unexpected(ExitCode::Usage);
}

std::string join(const std::vector<std::string> &words) {
  std::string out;
  for (const auto &it : words)
    out += (out.empty() ? "" : " ") + it;
  return out;
}

void printChanges(const ChangeAnswer &answer) {
  for (const auto &it : answer.Changes)
    std::cout << it << '\n';
}

} // namespace

Commands::Commands(CommandSettings settings, NodeCaller caller)
    : Settings(std::move(settings)), Caller(std::move(caller)) {}

ExitCode Commands::run(const std::vector<std::string> &words) {
  if (words.size() == 2 && words[0] == "apply")
    return apply(words[1]);
  if (words.size() == 2 && words[0] == "diff")
    return diff(words[1]);
  if (words.size() == 2 && words[0] == "check")
    return check(words[1]);
  if (words.size() == 1 && words[0] == "export")
    return exportDeclarations();
  return statement(join(words));
}

HttpRequest Commands::newRequest(std::string_view method,
                                 std::string_view path) {
  auto id = Settings.CommandId.empty() ? newCommandId() : Settings.CommandId;
  HttpRequest request;
  request.Method = method;
  request.Url = path;
  request.Fields = {{std::string(header::CommandId), id},
                    {std::string(header::Operator), Settings.Operator}};
  return request;
}

tl::expected<std::string, ExitCode> Commands::send(const HttpRequest &request) {
  auto answer = Caller.call(request);
  if (!answer) {
    printError("no node answered\n" + answer.error());
    if (request.Method != "GET")
      printError("to repeat the same command: --command_id " +
                 request.Fields.front().second);
    return tl::unexpected(ExitCode::NoAnswer);
  }
  if (answer->isOk())
    return std::move(answer->Body);
  auto error = admin_format::readError(answer->Body);
  printError("refused (" + std::to_string(answer->Status) +
             "): " + error.Message);
  return tl::unexpected(ExitCode::Refused);
}

ExitCode Commands::statement(const std::string &text) {
  auto parsed = parseStatement(text);
  if (!parsed) {
    printStatementError(text, parsed.error().Column,
                        "expected " + parsed.error().Expected);
    return ExitCode::Usage;
  }
  auto request = newRequest("POST", admin_path::Statement);
  request.Body = admin_format::statementBody(
      {text, request.Fields.front().second, Settings.Operator});
  auto body = send(request);
  if (!body)
    return body.error();
  auto rows = admin_format::readRows(*body);
  if (!rows) {
    printError(rows.error().Message);
    return ExitCode::Refused;
  }
  std::cout << (Settings.Json ? *body : tableText(*rows));
  return ExitCode::Done;
}

ExitCode Commands::check(const std::string &file) {
  auto text = readChecked(file);
  return text ? ExitCode::Done : text.error();
}

ExitCode Commands::exportDeclarations() {
  auto body = send(newRequest("GET", admin_path::Export));
  if (!body)
    return body.error();
  std::cout << *body;
  return ExitCode::Done;
}

tl::expected<ChangeAnswer, ExitCode>
Commands::sendDeclarations(std::string_view path, const std::string &file) {
  auto text = readChecked(file);
  if (!text)
    return tl::unexpected(text.error());
  auto request = newRequest("POST", path);
  request.Body = std::move(*text);
  auto body = send(request);
  if (!body)
    return tl::unexpected(body.error());
  auto answer = admin_format::readChange(*body);
  if (!answer) {
    printError(answer.error().Message);
    return tl::unexpected(ExitCode::Refused);
  }
  if (Settings.Json)
    std::cout << *body;
  else
    printChanges(*answer);
  return *answer;
}

ExitCode Commands::diff(const std::string &file) {
  auto answer = sendDeclarations(admin_path::Diff, file);
  if (!answer)
    return answer.error();
  return answer->Changes.empty() ? ExitCode::Done : ExitCode::Differs;
}

ExitCode Commands::apply(const std::string &file) {
  auto answer = sendDeclarations(admin_path::Apply, file);
  if (!answer)
    return answer.error();
  if (!Settings.Json)
    std::cout << "committed as revision " << answer->Number << '\n';
  return Settings.Wait.count() > 0 ? waitInForce(answer->Number)
                                   : ExitCode::Done;
}

tl::expected<RowSet, AdminError> Commands::query(const std::string &text) {
  auto request = newRequest("POST", admin_path::Statement);
  auto &id = request.Fields.front().second;
  // The tool's own query must not have the id of the command before it.
  id = newCommandId();
  request.Body = admin_format::statementBody({text, id, Settings.Operator});
  auto answer = Caller.call(request);
  if (!answer)
    return tl::unexpected(AdminError{0, answer.error()});
  return admin_format::readRows(answer->Body);
}

ExitCode Commands::waitInForce(Revision revision) {
  auto until = std::chrono::steady_clock::now() + Settings.Wait;
  std::string why;
  while (true) {
    auto rows = query("show nodes");
    auto behind = rows ? nodesBehind(*rows, revision) : std::nullopt;
    if (behind && behind->empty()) {
      // With JSON, stdout contains nothing but the one JSON document.
      (Settings.Json ? std::cerr : std::cout)
          << "in force on every live node\n";
      return ExitCode::Done;
    }
    why = behind ? "not yet on: " + join(*behind)
          : rows ? "the nodes' revisions are not known"
                 : rows.error().Message;
    if (std::chrono::steady_clock::now() + InForcePollInterval > until)
      break;
    std::this_thread::sleep_for(InForcePollInterval);
  }
  printError("revision " + std::to_string(revision) +
             " is committed, but was not seen in force everywhere: " + why);
  return ExitCode::NotInForce;
}

} // namespace hemlockglade
