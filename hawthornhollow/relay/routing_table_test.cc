#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "hawthornhollow/relay/relay.h"

namespace hawthornhollow {
namespace {

using testing::HasSubstr;

RelayRoute Route(const std::string& name, const std::string& prefix) {
  return {.name = name,
          .host = "a.example",
          .prefix = prefix,
          .services = {{.service = "engine"}}};
}

class RoutingTableTest : public testing::Test {
 protected:
  std::shared_ptr<const RoutingTable> Create() {
    auto table = RoutingTable::Create(parts_);
    EXPECT_TRUE(table.ok()) << table.status();
    return *table;
  }

  RoutingTable::Parts parts_{.version = 7};
};

TEST_F(RoutingTableTest, PathMatchingSeveralPrefixes_TakesTheLongest) {
  parts_.routes = {Route("short", "/a/"), Route("long", "/a/b/")};
  const auto table = Create();
  EXPECT_EQ(table->Match("a.example", "/a/b/c")->name, "long");
  EXPECT_EQ(table->Match("a.example", "/a/x")->name, "short");
  EXPECT_EQ(table->Match("a.example", "/a"), nullptr);
  EXPECT_EQ(table->Match("b.example", "/a/b/c"), nullptr);
}

TEST_F(RoutingTableTest, KeyOfAWorkspace_IsFoundAndOthersAreNot) {
  parts_.workspaces = {{.name = "ward-7", .keys = {"k1", "k2"}}};
  const auto table = Create();
  EXPECT_EQ(table->FindByKey("k2")->name, "ward-7");
  EXPECT_EQ(table->FindByKey(""), nullptr);
}

TEST_F(RoutingTableTest, RouteWithoutServiceOrDuplicateKey_IsRejectedByName) {
  parts_.routes = {Route("r1", "/a/")};
  parts_.routes[0].services.clear();
  EXPECT_THAT(RoutingTable::Create(parts_).status().message(),
              HasSubstr("route r1"));
  parts_.routes.clear();
  parts_.workspaces = {{.name = "a", .keys = {"k"}},
                       {.name = "b", .keys = {"k"}}};
  EXPECT_THAT(RoutingTable::Create(parts_).status().message(),
              HasSubstr("workspace b"));
}

}  // namespace
}  // namespace hawthornhollow
