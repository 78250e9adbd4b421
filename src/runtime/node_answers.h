// Texts of the node's HTTP answers.
#pragma once

#include <string>
#include <vector>

#include "src/core/actions.h"
#include "src/core/node.h"
#include "src/runtime/caller_request.h"
#include "src/runtime/http_server.h"

namespace saltquay {

// HTTP status that stands for an error kind.
unsigned HttpStatusOf(ErrorKind kind);
// "completed", "not_run" or "unknown".
std::string OutcomeName(Outcome outcome);
std::string EngineRoleName(EngineRole role);

std::string ErrorJson(const absl::Status& status, const std::string& outcome, std::optional<Duration> retry_after);
// Headers of a refusal: type, outcome and when to come back.
std::vector<HttpHeader> RefusalHeaders(const std::string& outcome, std::optional<Duration> retry_after);

// One event of a streamed answer, and a whole answer.
std::string StreamEvent(CompletionShape shape, const std::string& model, const std::string& text, bool last);
std::string WholeAnswer(CompletionShape shape, const std::string& model, const std::string& text,
                        const FinishRequest& finish);

std::string StatusJson(const NodeStatus& status);
std::string CommandJson(const FinishCommand& finish);
// Prometheus text.
std::string MetricsText(const NodeStatus& status);

}  // namespace saltquay
