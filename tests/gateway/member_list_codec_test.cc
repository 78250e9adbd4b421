// The compact list of peers in a report.
#include "src/gateway/member_list_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/gateway/peer_codec.h"

namespace saltquay::gateway {
namespace {

serving::PeerReport ReportOf(int peers) {
  serving::PeerReport report;
  report.node = "n1";
  for (int i = 0; i < peers; ++i) {
    report.peers.push_back({"front-zone-" + std::to_string(i), "10.1." + std::to_string(i % 256) + ".7:7100",
                            "zone-" + std::to_string(i % 5), 200, false, std::chrono::milliseconds(10 * i)});
  }
  return report;
}

void ExpectSamePeers(const serving::PeerReport& report) {
  const auto decoded = DecodeReport(EncodeReport(report));
  ASSERT_TRUE(decoded.ok());
  ASSERT_EQ(decoded->peers.size(), report.peers.size());
  for (const serving::PeerNode& peer : report.peers) {
    const auto found = std::find(decoded->peers.begin(), decoded->peers.end(), peer);
    ASSERT_NE(found, decoded->peers.end()) << peer.node;
    EXPECT_EQ(found->age, peer.age);
  }
}

TEST(MemberListCodecTest, ListsRoundTripInFewBytes) {
  const serving::PeerReport report = ReportOf(48);
  ExpectSamePeers(report);
  EXPECT_LE(EncodeReport(report).size() - EncodeReport(ReportOf(0)).size(), 48U * 40U);
}

TEST(MemberListCodecTest, NodesThatDoNotFitAreListedInFull) {
  serving::PeerReport report = ReportOf(3);
  report.peers[0].address = "host.example:7100";
  report.peers[1].node = std::string(300, 'x');
  report.peers[2].link_mbps = 400'000;
  ExpectSamePeers(report);
}

RC_GTEST_PROP(MemberListCodecProperty, DamagedListsAreRefusedOrDecoded, ()) {
  std::string bytes = EncodeReport(ReportOf(*rc::gen::inRange(0, 30)));
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[at] = *rc::gen::arbitrary<char>();
  const auto changed = DecodeReport(bytes);
  if (changed.ok()) RC_ASSERT(changed->peers.size() <= 30U);
  const std::string cut = bytes.substr(0, at);
  static_cast<void>(DecodeReport(cut));
}

}  // namespace
}  // namespace saltquay::gateway
