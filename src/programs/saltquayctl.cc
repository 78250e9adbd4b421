// The operators' command line. It talks to any node.
//
// Exit codes: 0 done; 1 refused, with the reason; 2 wrong use; 3 no node
// answered; 4 the outcome is not known yet.
#include <fstream>
#include <future>
#include <iostream>
#include <sstream>

#include <fmt/format.h>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "src/base/bounded_json.h"
#include "src/core/bundle/bundle.h"
#include "src/gateway/log_explainer.h"
#include "src/runtime/http_client.h"
#include "src/runtime/line_diff.h"
#include "src/runtime/program.h"

namespace saltquay {
namespace {

using Json = nlohmann::json;

constexpr int kExitRefused = 1;
constexpr int kExitNoNode = 3;
constexpr int kExitUnknown = 4;
constexpr std::chrono::milliseconds kCommandTimeout{30'000};

constexpr char kCommands[] =
    "Commands:\n"
    "  bundle validate FILE            check a bundle without a node\n"
    "  bundle publish FILE             store it under its own name\n"
    "  bundle approve NAME             by another operator than its publisher\n"
    "  bundle roll NAME [--expect N]   put it in force; --expect: only over generation N\n"
    "  bundle status NAME              text, publisher and approver\n"
    "  bundle history                  generations rolled\n"
    "  bundle diff NAME NAME           lines that differ\n"
    "  status                          nodes, engines, roles, lease, generation\n"
    "  explain --request ID FILE...    a request's life, from the gateways' logs; --json: the lines themselves\n"
    "  explain --engine ID FILE...     what the gateways believed of an engine\n"
    "  explain --fingerprint F FILE... what became of a request over all its repeats, and which engines ended under "
    "it\n"
    "  explain --window N FILE...      what became of the usage report of a window\n";

struct NodeAnswer {
  bool answered = false;
  Json body;
};

NodeAnswer Call(HttpClient& http, const std::string& method, const std::string& url, const std::string& body) {
  std::promise<NodeAnswer> promise;
  HttpCall call;
  call.method = method;
  call.url = url;
  call.body = body;
  call.timeout = kCommandTimeout;
  call.on_done = [&](HttpResult result, long, const std::string& text) {
    NodeAnswer answer;
    absl::StatusOr<Json> body = ParseBoundedJson(text);
    answer.answered = result == HttpResult::kAnswered && body.ok();
    if (body.ok()) answer.body = std::move(*body);
    promise.set_value(std::move(answer));
  };
  http.Begin(std::move(call));
  return promise.get_future().get();
}

class Control {
 public:
  Control(std::string node_url, std::string operator_name, bool json)
      : node_url_(std::move(node_url)), operator_name_(std::move(operator_name)), json_(json) {}

  int Validate(const std::string& path) const {
    std::string text;
    if (!ReadFile(path, &text)) return kExitUsage;
    const absl::StatusOr<Bundle> bundle = ParseBundle(text, path);
    if (json_) {
      Json answer = {{"valid", bundle.ok()}};
      if (!bundle.ok()) answer["message"] = MessageOf(bundle.status());
      std::cout << answer.dump() << "\n";
    } else if (bundle.ok()) {
      std::cout << fmt::format("bundle '{}' is valid: {} models, {} pools, {} classes\n", bundle->name,
                               bundle->models.size(), bundle->pools.size(), bundle->classes.size());
    } else {
      std::cerr << MessageOf(bundle.status()) << "\n";
    }
    return bundle.ok() ? EXIT_SUCCESS : kExitRefused;
  }

  int Publish(const std::string& path) {
    std::string text;
    if (!ReadFile(path, &text)) return kExitUsage;
    const absl::StatusOr<Bundle> bundle = ParseBundle(text, path);
    if (!bundle.ok()) {
      std::cerr << MessageOf(bundle.status()) << "\n";
      return kExitRefused;
    }
    return Command("publish", {{"operator", operator_name_}, {"bundle", bundle->name}, {"text", text}});
  }

  int Command(const std::string& command, const Json& body) {
    const NodeAnswer answer = Call(http_, "POST", node_url_ + "/admin/bundles/" + command, body.dump());
    if (!answer.answered) return NoNode();
    const bool accepted = answer.body.value("accepted", false);
    if (json_) {
      std::cout << answer.body.dump() << "\n";
    } else {
      Print(command, answer.body, accepted);
    }
    if (accepted) return EXIT_SUCCESS;
    const std::string type = answer.body.contains("error") ? answer.body.at("error").value("type", "") : "";
    return type == "outcome_unknown" ? kExitUnknown : kExitRefused;
  }

  int Status() {
    const NodeAnswer answer = Call(http_, "GET", node_url_ + "/status", "");
    if (!answer.answered) return NoNode();
    if (json_) {
      std::cout << answer.body.dump() << "\n";
      return EXIT_SUCCESS;
    }
    const Json& body = answer.body;
    std::cout << fmt::format("node {} {} generation {} '{}' view {} leader {} store {}\n", body.at("node").dump(),
                             body.at("ready").get<bool>() ? "ready" : "not ready", body.at("generation").dump(),
                             body.at("bundle").get<std::string>(), body.at("view").dump(),
                             body.at("leader").at("node").dump(),
                             body.at("store_available").get<bool>() ? "up" : "down");
    for (const Json& member : body.at("members")) {
      std::cout << fmt::format("  node {} {}\n", member.at("node").dump(), member.at("state").get<std::string>());
    }
    for (const Json& engine : body.at("engines")) {
      std::cout << fmt::format("  engine {} {} {} running {} waiting {}\n", engine.at("engine").dump(),
                               engine.at("role").get<std::string>(),
                               engine.at("available").get<bool>() ? "available" : "out of service",
                               engine.at("running").dump(), engine.at("waiting").dump());
    }
    return EXIT_SUCCESS;
  }

  int Diff(const std::string& first, const std::string& second) {
    std::vector<std::string> texts;
    for (const std::string& name : {first, second}) {
      const NodeAnswer answer = Call(http_, "POST", node_url_ + "/admin/bundles/show", Json{{"bundle", name}}.dump());
      if (!answer.answered) return NoNode();
      if (!answer.body.value("accepted", false)) {
        std::cerr << answer.body.at("error").value("message", "refused") << "\n";
        return kExitRefused;
      }
      texts.push_back(answer.body.at("detail").value("text", ""));
    }
    const std::vector<std::string> lines = DiffLines(texts[0], texts[1]);
    if (json_) {
      std::cout << Json(lines).dump() << "\n";
    } else {
      for (const std::string& line : lines) std::cout << line << "\n";
    }
    return EXIT_SUCCESS;
  }

  const std::string& operator_name() const { return operator_name_; }

 private:
  static bool ReadFile(const std::string& path, std::string* text) {
    std::ifstream file(path);
    if (!file) {
      std::cerr << "cannot read '" << path << "'; check its path\n";
      return false;
    }
    std::ostringstream content;
    content << file.rdbuf();
    *text = content.str();
    return true;
  }

  int NoNode() const {
    std::cerr << "no answer from " << node_url_ << "; name another node with --node\n";
    return kExitNoNode;
  }

  static void Print(const std::string& command, const Json& body, bool accepted) {
    if (!accepted) {
      std::cerr << "not accepted: " << body.at("error").value("message", "refused") << "\n";
      return;
    }
    if (command == "show") {
      const Json& detail = body.at("detail");
      std::cout << fmt::format(
          "bundle '{}' published by {}, {}\n{}", detail.value("name", ""), detail.value("publisher", ""),
          detail.value("approver", "").empty() ? "not approved" : "approved by " + detail.value("approver", ""),
          detail.value("text", ""));
    } else if (command == "history") {
      if (!body.contains("detail") || !body.at("detail").contains("history")) return;
      for (const Json& roll : body.at("detail").at("history")) {
        std::cout << fmt::format("generation {} '{}' by {}\n", roll.at(0).dump(), roll.at(1).get<std::string>(),
                                 roll.at(2).get<std::string>());
      }
    } else if (command == "roll") {
      std::cout << fmt::format("accepted: generation {} is '{}'\n", body.at("generation").dump(),
                               body.value("bundle", ""));
    } else {
      std::cout << "accepted\n";
    }
  }

  HttpClient http_;
  std::string node_url_;
  std::string operator_name_;
  bool json_;
};

int RunBundle(Control& control, const std::vector<std::string>& words, const cxxopts::ParseResult& arguments) {
  const std::string verb = words.size() > 1 ? words[1] : "";
  const std::string target = words.size() > 2 ? words[2] : "";
  if (verb == "history") return control.Command("history", Json::object());
  if (target.empty()) return kExitUsage;
  Json body = {{"operator", control.operator_name()}, {"bundle", target}};
  if (verb == "validate") return control.Validate(target);
  if (verb == "publish") return control.Publish(target);
  if (verb == "approve") return control.Command("approve", body);
  if (verb == "status") return control.Command("show", body);
  if (verb == "diff" && words.size() > 3) return control.Diff(target, words[3]);
  if (verb != "roll") return kExitUsage;
  if (arguments.count("expect") > 0) body["expected_generation"] = arguments["expect"].as<std::uint64_t>();
  return control.Command("roll", body);
}

// The lines that the arguments ask for, and by what name.
std::pair<std::string, std::vector<gateway::LogLine>> FindLines(const gateway::LogExplainer& explainer,
                                                                const cxxopts::ParseResult& arguments) {
  if (arguments.count("window") > 0) {
    const auto window = arguments["window"].as<std::int64_t>();
    return {std::to_string(window), explainer.UsageWindow(window)};
  }
  if (arguments.count("fingerprint") > 0) {
    const auto fingerprint = arguments["fingerprint"].as<std::string>();
    return {fingerprint, explainer.Fingerprint(fingerprint)};
  }
  const bool by_request = arguments.count("request") > 0;
  const std::string id = arguments[by_request ? "request" : "engine"].as<std::string>();
  return {id, by_request ? explainer.Request(id) : explainer.Engine(id)};
}

int Explain(const std::vector<std::string>& files, const cxxopts::ParseResult& arguments) {
  const std::size_t subjects = arguments.count("request") + arguments.count("engine") + arguments.count("fingerprint") +
                               arguments.count("window");
  if (files.empty() || subjects != 1) return kExitUsage;
  gateway::LogExplainer explainer;
  for (const std::string& path : files) {
    std::ifstream file(path);
    if (!file) {
      std::cerr << fmt::format("cannot read '{}'; check its path\n", path);
      return kExitRefused;
    }
    explainer.Read(file, path);
  }
  const auto [id, lines] = FindLines(explainer, arguments);
  for (const gateway::LogLine& line : lines) {
    std::cout << (arguments.count("json") > 0 ? line.text : gateway::FormatLogLine(line)) << "\n";
  }
  for (const gateway::UnparsedLine& bad : explainer.unparsed_lines()) {
    std::cerr << fmt::format("{}:{}: not an event line, skipped\n", bad.source, bad.number);
  }
  if (!lines.empty()) return EXIT_SUCCESS;
  std::cerr << fmt::format("no line names '{}'; check the id and that the logs cover its time\n", id);
  return kExitRefused;
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("saltquayctl", "Publishes, approves and rolls bundles; shows what runs.");
  options.add_options()("node", "A node's URL", cxxopts::value<std::string>()->default_value("http://127.0.0.1:8100"))(
      "operator", "Who you are", cxxopts::value<std::string>()->default_value(""))(
      "expect", "Generation that must be in force", cxxopts::value<std::uint64_t>())("json", "Answer as JSON")(
      "request", "A request's id", cxxopts::value<std::string>())("fingerprint", "A request's fingerprint",
                                                                  cxxopts::value<std::string>())(
      "engine", "An engine's id", cxxopts::value<std::string>())("window", "The number of a usage report's window",
                                                                 cxxopts::value<std::int64_t>())(
      "words", "", cxxopts::value<std::vector<std::string>>()->default_value(""));
  options.parse_positional({"words"});
  options.positional_help("COMMAND");
  return options;
}

int RunCommand(const cxxopts::ParseResult& arguments) {
  const std::vector<std::string> words = arguments["words"].as<std::vector<std::string>>();
  Control control(arguments["node"].as<std::string>(), arguments["operator"].as<std::string>(),
                  arguments.count("json") > 0);
  int code = kExitUsage;
  if (!words.empty() && words[0] == "status") code = control.Status();
  if (!words.empty() && words[0] == "explain") code = Explain({words.begin() + 1, words.end()}, arguments);
  if (!words.empty() && words[0] == "bundle") code = RunBundle(control, words, arguments);
  if (code == kExitUsage) std::cerr << kCommands;
  return code;
}

int Run(const cxxopts::ParseResult& arguments) {
  try {
    return RunCommand(arguments);
  } catch (const Json::exception& error) {
    std::cerr << "the node's answer has another form, check its version: " << error.what() << "\n";
    return kExitNoNode;
  }
}

}  // namespace
}  // namespace saltquay

int main(int argc, char** argv) {
  return saltquay::RunProgram(saltquay::MakeOptions(), argc, argv, saltquay::kCommands, &saltquay::Run);
}
