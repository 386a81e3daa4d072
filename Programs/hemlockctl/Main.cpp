#include "Explain.h"
#include "Prompt.h"

#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(
    node, "",
    "addresses of nodes, ip:port[,ip:port...]; if one does not answer, "
    "the next is used");
DEFINE_string(output, "table", "table or json");
DEFINE_int32(
    wait_s, 0,
    "apply: maximum number of seconds to wait until the revision is in "
    "force on every live node; 0 does not wait");
DEFINE_int32(timeout_s, 10, "timeout for the answer of one node, in seconds");
DEFINE_string(operator_name, "",
              "name of the operator; the user's name if empty");
DEFINE_string(logs, "",
              "explain: file with nodes' log lines; - is standard input");
DEFINE_string(request, "", "explain: id of the request to explain");
DEFINE_string(
    command_id, "",
    "id of the command; set it to send a command again whose answer was "
    "lost");

namespace {

using namespace hemlockglade;

constexpr const char *Usage =
    "queries and controls hemlockglade.\n\n"
    "  hemlockctl --node IP:PORT[,IP:PORT...] [--output table|json] COMMAND\n\n"
    "  apply FILE   check declarations, commit them as the next revision\n"
    "  diff FILE    print what applying them would change\n"
    "  check FILE   only check them; needs no node\n"
    "  export       print the declarations in force\n"
    "  explain --logs FILE [FILE...] [--request ID]\n"
    "               print what happened to one request, or to all, from\n"
    "               nodes' logs: loads, waits, refusals and attempts by\n"
    "               reason, and windows of 2 s by route; needs no node\n"
    "  STATEMENT    show, load, pin, unpin, drain, undrain or stop\n"
    "  (nothing)    start a prompt with history\n\n"
    "Exit status: 0 done, 1 refused, 2 wrong usage, file or statement,\n"
    "3 no node answered, 4 committed but not in force everywhere in time,\n"
    "5 diff found differences.";

std::vector<std::string> split(const std::string &list) {
  std::vector<std::string> out;
  std::istringstream in(list);
  for (std::string it; std::getline(in, it, ',');)
    out.push_back(it);
  return out;
}

std::string operatorName() {
  if (!FLAGS_operator_name.empty())
    return FLAGS_operator_name;
  const char *user = std::getenv("USER");
  return user ? user : "unknown";
}

int usageError(const std::string &text) {
  std::cerr << "hemlockctl: " << text << "; see --help\n";
  return static_cast<int>(ExitCode::Usage);
}

bool isExplain(const std::vector<std::string> &words) {
  return !words.empty() && words[0] == "explain";
}

/// Returns what is wrong with the flags of `explain`; empty if they are valid.
std::string explainError(const std::vector<std::string> &words) {
  if (!isExplain(words) && !(FLAGS_logs.empty() && FLAGS_request.empty()))
    return "--logs and --request: expected the command explain";
  if (isExplain(words) && FLAGS_logs.empty())
    return "explain: expected --logs FILE";
  return "";
}

int runExplain(std::vector<std::string> words) {
  words[0] = FLAGS_logs;
  return static_cast<int>(explain({std::move(words), FLAGS_request}));
}

/// Returns what is wrong with the command line; empty if it is valid.
std::string flagError(const std::vector<std::string> &words,
                      const std::vector<std::string> &nodes) {
  if (auto error = explainError(words); !error.empty())
    return error;
  bool needsNode = words.empty() || (words[0] != "check" && !isExplain(words));
  if (FLAGS_output != "table" && FLAGS_output != "json")
    return "--output: expected table or json, not '" + FLAGS_output + "'";
  if (FLAGS_wait_s < 0 || FLAGS_timeout_s < 1)
    return "--wait_s and --timeout_s: expected a number of seconds";
  if (needsNode && nodes.empty())
    return "--node: expected the address of a node";
  if (words.empty() && !FLAGS_command_id.empty())
    return "--command_id: expected a command, since it is the id of one";
  for (const auto &it : nodes) {
    if (!isEndpointAddress(it))
      return "--node: expected a numeric ip:port, not '" + it + "'";
  }
  return "";
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage(Usage);
  gflags::SetVersionString(HEMLOCKGLADE_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::vector<std::string> words(argv + 1, argv + argc);
  auto nodes = split(FLAGS_node);
  if (auto error = flagError(words, nodes); !error.empty())
    return usageError(error);
  if (isExplain(words))
    return runExplain(std::move(words));
  CommandSettings settings{FLAGS_output == "json",
                           std::chrono::seconds(FLAGS_wait_s), operatorName(),
                           FLAGS_command_id};
  Commands commands(settings,
                    NodeCaller(nodes, std::chrono::seconds(FLAGS_timeout_s)));
  auto status = words.empty() ? runPrompt(commands) : commands.run(words);
  return static_cast<int>(status);
}
