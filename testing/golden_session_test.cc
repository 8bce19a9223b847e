// One whole session, compared with testing/golden/session.txt: the files that
// were published, a streamed request and an order with the frames between
// router and gate, the order again through another router, and the bills.
//
// UPDATE_GOLDEN=1 in the environment rewrites the file instead.

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "hawthornhollow/config/config.h"
#include "testing/fleet.h"
#include "testing/frame_recorder.h"

namespace hawthornhollow {
namespace {

constexpr absl::Duration kStepTimeout = absl::Seconds(10);

// Replaces each distinct match by PREFIX and its number, in the order of
// appearance, so that what was equal or different stays so.
std::string NumberMatches(const std::string& text,
                          const std::regex& pattern,
                          const std::string& prefix) {
  std::map<std::string, size_t> numbers;
  std::string out;
  size_t end = 0;
  for (std::sregex_iterator it(text.begin(), text.end(), pattern), none;
       it != none; ++it) {
    auto number = numbers.emplace(it->str(), numbers.size() + 1).first;
    absl::StrAppend(&out, text.substr(end, it->position() - end), prefix,
                    number->second);
    end = it->position() + it->length();
  }
  return out + text.substr(end);
}

// Ids, incarnations, ports, times and log offsets differ between runs.
std::string Normalised(std::string text) {
  static const std::regex id(R"(\b[0-9a-f]{16}\b)");
  static const std::regex address(R"(127\.0\.0\.1:[0-9]+)");
  static const std::regex time(R"([0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]{8}Z)");
  static const std::regex fence(R"(\bfence=[1-9][0-9]*)");
  text = NumberMatches(text, id, "id-");
  text = NumberMatches(text, address, "address-");
  text = std::regex_replace(text, time, "TIME");
  return std::regex_replace(text, fence, "fence=OFFSET");
}

std::string Show(const HttpRequest& request) {
  std::string text =
      absl::StrCat("\n== request\n", request.method, " ", request.target, "\n");
  for (const auto& [name, value] : request.headers)
    absl::StrAppend(&text, name, ": ", value, "\n");
  return absl::StrCat(text, "\n", request.body, "\n");
}

std::string Show(const HttpResponse& response) {
  std::string text = absl::StrCat("\n== answer\n", response.status, "\n");
  for (const char* name : {"Content-Type", "X-Request-Id"}) {
    absl::StrAppend(&text, name, ": ", std::string(response.Header(name)),
                    "\n");
  }
  return absl::StrCat(text, "\n", response.body, "\n");
}

std::string ReadGolden() {
  std::ifstream in(GOLDEN_SESSION);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

class GoldenSessionTest : public ::testing::Test {
 protected:
  void SetUp() override {
    auto recorder = FrameRecorder::Create();
    ASSERT_TRUE(recorder.ok()) << recorder.status();
    recorder_ = *std::move(recorder);
    FleetOptions options;
    options.routers = 2;
    options.engines = 1;
    options.services = 1;
    options.files_for = [this](const std::vector<Endpoint>& gates) {
      return RelayFiles(gates);
    };
    auto fleet = Fleet::Start(options);
    ASSERT_TRUE(fleet.ok()) << fleet.status();
    fleet_ = *std::move(fleet);
    ASSERT_TRUE(WaitForServices());
  }

  // Has the routers reach the side processes through the recorder.
  std::map<std::string, std::string> RelayFiles(
      const std::vector<Endpoint>& gates) {
    std::map<std::string, std::string> files;
    const std::vector<std::string> servers = {"engine-1", "service-1"};
    for (size_t i = 0; i < servers.size(); ++i) {
      auto relay = recorder_->Relay(servers[i], gates[i]);
      EXPECT_TRUE(relay.ok()) << relay.status();
      files["55-" + servers[i] + ".json"] =
          absl::StrCat(R"({"kind":"server","name":")", servers[i],
                       R"(","address":")", relay->ToString(), R"("})");
    }
    return files;
  }

  // The fleet waits for engines only.
  bool WaitForServices() {
    const std::string connected =
        "pool_servers_connected{pool=\"service:kit-booking\"} 1\n";
    absl::Time deadline = absl::Now() + kStepTimeout;
    for (size_t router = 0; router < 2; ++router) {
      while (true) {
        auto metrics = fleet_->Get(fleet_->router(router), "/metrics");
        if (metrics.ok() && metrics->find(connected) != std::string::npos)
          break;
        if (absl::Now() > deadline)
          return false;
        absl::SleepFor(absl::Milliseconds(50));
      }
    }
    return true;
  }

  void AddFiles() {
    auto files = ReadFolder(fleet_->folder());
    ASSERT_TRUE(files.ok()) << files.status();
    session_ += "== published files\n";
    for (const auto& [name, text] : *files)
      absl::StrAppend(&session_, "-- ", name, "\n", text, "\n");
  }

  void AddFrames() {
    absl::StrAppend(&session_, "\n== frames\n", recorder_->TakeText());
  }

  // Sends a request, and adds it, its answer and its frames. If it is to be
  // billed, waits for the bill's durability.
  void AddCall(size_t router, const HttpRequest& request, bool billed) {
    absl::StrAppend(&session_, Show(request));
    auto response = PlainHttp(fleet_->router(router), request, kStepTimeout);
    ASSERT_TRUE(response.ok()) << response.status();
    if (billed) {
      ASSERT_TRUE(recorder_->WaitFor(fb::FrameBody::Settled, kStepTimeout));
    }
    AddFrames();
    absl::StrAppend(&session_, Show(*response));
  }

  void AddBills() {
    auto bills = fleet_->Cli({"bills", "--log", fleet_->log().ToString()});
    ASSERT_TRUE(bills.ok()) << bills.status();
    ASSERT_EQ(bills->first, 0);
    absl::StrAppend(&session_, "\n== hawthornhollow bills\n", bills->second);
  }

  std::unique_ptr<FrameRecorder> recorder_;
  std::unique_ptr<Fleet> fleet_;
  std::string session_;
};

TEST_F(GoldenSessionTest, Session_OfRequestAndOrder_EqualsTheFile) {
  AddFiles();
  AddFrames();
  AddCall(0, Fleet::ChatRequestFor({.max_tokens = 3, .stream = true}), true);
  AddCall(0, Fleet::OrderRequestFor("order-1"), true);
  ASSERT_TRUE(fleet_->WaitBudgetNumber(1, "bills", 2, kStepTimeout));
  AddCall(1, Fleet::OrderRequestFor("order-1"), false);
  AddBills();
  const std::string session = Normalised(session_);
  if (std::getenv("UPDATE_GOLDEN") != nullptr) {
    std::ofstream out(GOLDEN_SESSION);
    out << session;
    ASSERT_TRUE(out.good());
    return;
  }
  EXPECT_EQ(session, ReadGolden());
}

}  // namespace
}  // namespace hawthornhollow
