// Objects of the store that cannot be read.
#include "src/gateway/refused_records.h"

#include <gtest/gtest.h>

#include "src/base/status.h"

namespace saltquay::gateway {
namespace {

// Guards against a log that names the same revision of an object at each list.
TEST(RefusedRecordsTest, EachRevisionIsNewOnce) {
  RefusedRecords records;
  EXPECT_TRUE(records.Add({"a", 5, "{}"}));
  EXPECT_FALSE(records.Add({"a", 5, "{}"}));
  EXPECT_TRUE(records.Add({"b", 5, "{}"}));
  EXPECT_TRUE(records.Add({"a", 6, "{}"}));
  EXPECT_FALSE(records.Add({"a", 6, "{}"}));
  EXPECT_FALSE(records.Add({"b", 5, "{}"}));
}

TEST(RefusedRecordsTest, ObjectsWithoutARevisionAreAlwaysNew) {
  RefusedRecords records;
  EXPECT_TRUE(records.Add({"", 0, ""}));
  EXPECT_TRUE(records.Add({"", 0, ""}));
}

TEST(RefusedRecordsTest, CausesAreFew) {
  const absl::Status status = MakeError(ErrorKind::kCorrupt, "slots is not an integer");
  EXPECT_EQ(RefusalCause({"a", 5, "", "its name is not a string"}, status), "unreadable_entry");
  EXPECT_EQ(RefusalCause({"a", 5, "{}"}, status), "corrupt");
}

}  // namespace
}  // namespace saltquay::gateway
