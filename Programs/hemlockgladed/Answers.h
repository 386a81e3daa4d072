#pragma once

#include "Hemlockglade/Transport/Transport.h"

#include <nlohmann/json.hpp>

namespace hemlockglade::answer {

/// Sends a JSON document.
void json(HttpReply &reply, int status, const nlohmann::json &node);

/// Refuses a request that was not run, with an OpenAI-style error. 429 and 503
/// also get a Retry-After of one second.
void error(HttpReply &reply, int status, std::string_view type,
           std::string_view text);

} // namespace hemlockglade::answer
