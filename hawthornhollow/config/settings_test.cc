#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "hawthornhollow/config/config.h"

namespace hawthornhollow {
namespace {

using ::testing::HasSubstr;
using ::testing::StartsWith;

constexpr char kRouter[] =
    R"("name":"router-1","failure_domain":"patan","listen":"127.0.0.1:8080",
       "peer_listen":"127.0.0.1:9080","log_service":"127.0.0.1:7001")";
constexpr char kSidecar[] =
    R"("name":"sidecar-1","server":"engine-1","failure_domain":"patan",
       "listen":"127.0.0.1:7201","http_listen":"127.0.0.1:7301",
       "backend":"127.0.0.1:7401","log_service":"127.0.0.1:7001")";

std::string Object(const std::string& fields, const std::string& more) {
  return "{" + fields + (more.empty() ? "" : "," + more) + "}";
}

TEST(RouterSettingsTest, Parse_RequiredFieldsOnly_GivesDefaults) {
  auto settings = ParseRouterSettings("r.json", Object(kRouter, ""));
  ASSERT_TRUE(settings.ok()) << settings.status();
  RouterSettings expected;
  expected.name = "router-1";
  expected.failure_domain = "patan";
  expected.listen = "127.0.0.1:8080";
  expected.peer_listen = "127.0.0.1:9080";
  expected.log_service = "127.0.0.1:7001";
  EXPECT_EQ(*settings, expected);
}

TEST(RouterSettingsTest, Parse_EveryField_IsRead) {
  auto settings = ParseRouterSettings(
      "r.json", Object(kRouter, R"("peers":["127.0.0.1:9081","[::1]:9082"],
             "vm_list":"127.0.0.1:7002","threads":4,"ledger_shards":8,
             "drain_seconds":30,"max_connections":100,"peer_links":"ring",
             "policy":"fifo")"));
  ASSERT_TRUE(settings.ok()) << settings.status();
  EXPECT_EQ(settings->peers,
            (std::vector<std::string>{"127.0.0.1:9081", "[::1]:9082"}));
  EXPECT_EQ(settings->vm_list, "127.0.0.1:7002");
  EXPECT_EQ(settings->threads, 4);
  EXPECT_EQ(settings->ledger_shards, 8);
  EXPECT_EQ(settings->drain_seconds, 30);
  EXPECT_EQ(settings->max_connections, 100);
  EXPECT_EQ(settings->peer_links, "ring");
  EXPECT_EQ(settings->policy, "fifo");
}

TEST(SidecarSettingsTest, Parse_ValidText_IsRead) {
  auto settings = ParseSidecarSettings(
      "s.json", Object(kSidecar, R"("backend_kind":"service")"));
  ASSERT_TRUE(settings.ok()) << settings.status();
  EXPECT_EQ(settings->server, "engine-1");
  EXPECT_EQ(settings->backend_kind, "service");
  EXPECT_EQ(settings->replay_bytes, 16 * 1024 * 1024);
}

struct SettingsCase {
  const char* name;
  const char* more;
  const char* error;
};

class RouterSettingsErrorTest : public testing::TestWithParam<SettingsCase> {};

TEST_P(RouterSettingsErrorTest, Parse_WrongField_NamesFileFieldAndReason) {
  auto settings =
      ParseRouterSettings("r.json", Object(kRouter, GetParam().more));
  ASSERT_TRUE(absl::IsInvalidArgument(settings.status()));
  std::string message(settings.status().message());
  EXPECT_THAT(message, StartsWith("r.json: "));
  EXPECT_THAT(message, HasSubstr(GetParam().error));
  EXPECT_EQ(message.find('\n'), std::string::npos) << message;
}

const SettingsCase kRouterCases[] = {
    {"UnknownField", R"("thread":4)",
     "thread: unknown field; did you mean \"threads\"? (found 4)"},
    {"FieldTwice", R"("name":"b")", "name: given twice"},
    {"ThreadsZero", R"("threads":0)",
     "threads: must be a whole number from 1 to 256 (found 0)"},
    {"ThreadsText", R"("threads":"two")", "threads: must be a whole number"},
    {"ShardsZero", R"("ledger_shards":0)", "ledger_shards: must be"},
    {"DrainNegative", R"("drain_seconds":-1)", "drain_seconds: must be"},
    {"PeerIsHostName", R"("peers":["router-2:9080"])", "peers: each item"},
    {"PeersNotList", R"("peers":"127.0.0.1:1")", "must be an array"},
    {"VmListPortZero", R"("vm_list":"127.0.0.1:0")", "vm_list: must be IP"},
};

INSTANTIATE_TEST_SUITE_P(Cases,
                         RouterSettingsErrorTest,
                         testing::ValuesIn(kRouterCases),
                         [](const auto& info) { return info.param.name; });

TEST(RouterSettingsTest, Parse_EmptyObject_ReportsEveryMissingField) {
  auto settings = ParseRouterSettings("r.json", "{}");
  EXPECT_EQ(std::string(settings.status().message()),
            "r.json: name: is missing\n"
            "r.json: failure_domain: is missing\n"
            "r.json: listen: is missing\n"
            "r.json: peer_listen: is missing\n"
            "r.json: log_service: is missing");
}

TEST(SidecarSettingsTest, Parse_UnknownBackendKind_NamesChoices) {
  auto settings = ParseSidecarSettings(
      "s.json", Object(kSidecar, R"("backend_kind":"motor")"));
  EXPECT_EQ(std::string(settings.status().message()),
            "s.json: backend_kind: must be one of: engine, service (found "
            "\"motor\")");
}

TEST(SidecarSettingsTest, Parse_NotAnObject_IsRefused) {
  for (const char* text : {"", "[]", "3", "null", "{", "\xff"}) {
    EXPECT_TRUE(
        absl::IsInvalidArgument(ParseSidecarSettings("s.json", text).status()))
        << text;
  }
}

}  // namespace
}  // namespace hawthornhollow
