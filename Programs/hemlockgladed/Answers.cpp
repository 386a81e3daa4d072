#include "Answers.h"

#include "Hemlockglade/Protocol/Endpoint/EngineFormat.h"

namespace hemlockglade::answer {

void json(HttpReply &reply, int status, const nlohmann::json &node) {
  reply.sendWhole(status, {{"Content-Type", "application/json"}},
                  node.dump() + '\n');
}

void error(HttpReply &reply, int status, std::string_view type,
           std::string_view text) {
  constexpr int TooMany = 429;
  constexpr int Unavailable = 503;
  HttpFields fields{{"Content-Type", "application/json"},
                    {std::string(header::Outcome),
                     std::string(outcomeName(Outcome::NotRun))}};
  if (status == TooMany || status == Unavailable)
    fields.emplace_back("Retry-After", "1");
  reply.sendWhole(status, fields, errorBody(type, text));
}

} // namespace hemlockglade::answer
