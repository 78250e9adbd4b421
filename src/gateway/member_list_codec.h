// Compact form of a report's list of peers: 12 bytes and the name for each node instead of some 75.
#pragma once

#include <string>
#include <vector>

#include "src/core/serving/peer_table.h"
#include "src/gateway/peer_report_generated.h"

namespace saltquay::gateway {

struct MemberList {
  std::vector<wire::ListedNode> nodes;
  std::string names;
  std::vector<std::string> zones;
  std::vector<serving::PeerNode> others;  // Do not fit into the form: another kind of address, or a long name.
};

MemberList PackMembers(const std::vector<serving::PeerNode>& peers);

// Appends the listed nodes of the report to `peers`. Returns false if the list is inconsistent.
bool UnpackMembers(const wire::Report& report, std::vector<serving::PeerNode>& peers);

}  // namespace saltquay::gateway
