// Carries operators' commands to the store: publish, approve, roll.
//
// Protocol: each command is one compare-and-swap after a read. A bundle's text
// is written once; its approver must differ from its publisher; a roll raises
// the generation by one. Of racing operators one wins by compare-and-swap, and
// the other learns who. A lost answer is settled by the write's nonce (see
// settled_write.h). While the store is down a command is not accepted, and
// nothing changed.
//
// Not thread-safe; owned by Node.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/core/bundle/bundle_records.h"
#include "src/core/context.h"
#include "src/core/dissemination/settled_write.h"
#include "src/core/events.h"

namespace saltquay {

class BundleLedger {
 public:
  void OnCommand(NodeContext& context, const OperatorCommand& command);
  // Returns true when the answer was for a command. A roll that took effect is
  // in `rolled`, for the node to put in force.
  bool OnStoreAnswer(NodeContext& context, const StoreAnswered& answer, std::optional<RolledRecord>* rolled);
  void OnTick(NodeContext& context);

  // Answers the rolls up to `generation`: a second node has it too, or the
  // wait for one is over.
  void OnGenerationHeld(NodeContext& context, std::uint64_t generation);

 private:
  enum class Step { kReadBundle, kReadRolled, kWrite, kSpread };
  struct Command {
    OperatorCommand order;
    Step step = Step::kReadBundle;
    std::optional<StoreOperationId> read;
    std::optional<SettledWrite> write;
    BundleRecord bundle;
    RolledRecord rolled;
    Time spread_since{};
  };

  void Read(NodeContext& context, Command& command, const std::string& key, Step step);
  void Write(NodeContext& context, Command& command, const std::string& key, std::uint64_t version,
             const std::string& value, const std::string& nonce);
  // Each returns true when the command ended.
  bool OnRead(NodeContext& context, Command& command, const StoreAnswered& answer);
  bool OnBundleRead(NodeContext& context, Command& command, const StoredObject& object);
  bool Publish(NodeContext& context, Command& command, const StoredObject& object);
  bool Approve(NodeContext& context, Command& command, const StoredObject& object);
  bool OnRolledRead(NodeContext& context, Command& command, const StoredObject& object);
  bool OnWritten(NodeContext& context, Command& command, std::optional<RolledRecord>* rolled);
  bool Settle(NodeContext& context, Command& command, std::optional<RolledRecord>* rolled);
  bool Refuse(NodeContext& context, const Command& command, ErrorKind kind, const std::string& message);
  bool Accept(NodeContext& context, const Command& command, std::uint64_t generation, const std::string& detail);
  std::string MakeNonce(NodeContext& context) const;

  std::map<CommandHandle, Command> commands_;
};

}  // namespace saltquay
