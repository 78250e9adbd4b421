// What may cause crashes of engines.
#pragma once

#include <compare>
#include <cstdint>

namespace saltquay::serving {

enum class CrashSubjectKind : std::uint8_t {
  kRequest,     // A request and its repeats.
  kPromptPart,  // A part of prompts that different requests share; never the last part of a prompt.
  kStageOrder,  // An order to change to a stage; see role_controller.h. Not exchanged between nodes.
};

struct CrashSubject {
  CrashSubjectKind kind = CrashSubjectKind::kRequest;
  std::uint64_t fingerprint = 0;  // 0 if unknown.

  static CrashSubject Request(std::uint64_t fingerprint) { return {CrashSubjectKind::kRequest, fingerprint}; }
  static CrashSubject PromptPart(std::uint64_t fingerprint) { return {CrashSubjectKind::kPromptPart, fingerprint}; }

  bool is_part() const { return kind == CrashSubjectKind::kPromptPart; }
  auto operator<=>(const CrashSubject&) const = default;
};

}  // namespace saltquay::serving
