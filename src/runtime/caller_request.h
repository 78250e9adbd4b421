// Callers' HTTP requests to RequestSpec, with every check that needs no bundle.
#pragma once

#include <string>

#include "src/base/status.h"
#include "src/core/types.h"
#include "src/runtime/http_server.h"

namespace saltquay {

// Which of the two request shapes was used; answers have the same.
enum class CompletionShape { kText, kChat };

struct ParsedRequest {
  RequestSpec spec;
  CompletionShape shape = CompletionShape::kText;
  bool stream = false;
};

// Errors are kInvalidRequest and name the field or header.
absl::StatusOr<ParsedRequest> ParseCallerRequest(const HttpRequest& request, CompletionShape shape);

// Fills in what a prompt's text determines: tokens, blocks and hash.
void DescribePrompt(RequestSpec* spec);

}  // namespace saltquay
