// Measures the slopes of state, processor time and sizes on the wire with the
// project's own code, and prints for each three sizes and the fitted line.
//
//   build/tools/capacity

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/config/config.h"
#include "hawthornhollow/ledger/ledger.h"
#include "hawthornhollow/wire/wire.h"

namespace hawthornhollow {
namespace {

struct Point {
  double size = 0;
  double value = 0;
};

// Prints the points, and the least-squares line through them.
void PrintLine(const std::string& name, const std::vector<Point>& points) {
  double n = static_cast<double>(points.size());
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  double syy = 0;
  for (const Point& p : points) {
    sx += p.size;
    sy += p.value;
    sxx += p.size * p.size;
    sxy += p.size * p.value;
    syy += p.value * p.value;
  }
  double var_x = n * sxx - sx * sx;
  double var_y = n * syy - sy * sy;
  double cov = n * sxy - sx * sy;
  double slope = cov / var_x;
  double r2 = var_y == 0 ? 1 : cov * cov / (var_x * var_y);
  std::printf("%-44s", name.c_str());
  for (const Point& p : points)
    std::printf(" %.0f:%.0f", p.size, p.value);
  std::printf(" | slope %.3f intercept %.0f R2 %.4f\n", slope,
              (sy - slope * sx) / n, r2);
}

double AllocatedBytes() {
  return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd);
}

std::string BudgetName(int i) {
  return absl::StrCat("budget-", i);
}

RecordBody VoteOf(int i) {
  return BudgetVotedRecord{BudgetName(i), 1'000'000'000, 1};
}

RecordBody GrantOf(int i) {
  return GrantRequestRecord{BudgetName(i), "router-1-0123456789abcdef",
                            1'000'000, 1};
}

RecordBody BillOf(int i, int budgets) {
  BillRecord bill;
  bill.request = absl::StrCat("router-1-0123456789abcdef-", i);
  bill.budget = BudgetName(i % budgets);
  bill.caller = absl::StrCat("ward-", i % 1000);
  bill.incarnation = "router-1-0123456789abcdef";
  bill.server = "engine-17";
  bill.witness = "router-1-0123456789abcdef";
  bill.prompt_tokens = 400;
  bill.output_tokens = 489;
  bill.charged_tokens = 889;
  bill.outcome = Outcome::kCompleted;
  return bill;
}

class FoldFiller {
 public:
  void Apply(RecordBody body) {
    fold.Apply(++offset_,
               Batch{"writer", {Record{++sequence_, 0, std::move(body)}}});
  }
  BudgetFold fold;

 private:
  int64_t offset_ = -1;
  int64_t sequence_ = 0;
};

struct FoldCost {
  double bytes = 0;
  double serialized = 0;
  double seconds = 0;
};

// What `count` records cost a fold that `prepare` has filled.
FoldCost CostOf(const std::function<void(FoldFiller&)>& prepare,
                const std::function<RecordBody(int)>& record,
                int count) {
  FoldFiller filler;
  prepare(filler);
  double bytes = AllocatedBytes();
  double serialized = static_cast<double>(filler.fold.Serialize().size());
  absl::Time start = absl::Now();
  for (int i = 0; i < count; ++i)
    filler.Apply(record(i));
  FoldCost cost;
  cost.seconds = absl::ToDoubleSeconds(absl::Now() - start);
  cost.bytes = AllocatedBytes() - bytes;
  cost.serialized =
      static_cast<double>(filler.fold.Serialize().size()) - serialized;
  return cost;
}

void MeasureFold(const std::string& name,
                 const std::vector<int>& sizes,
                 const std::function<void(FoldFiller&, int)>& prepare,
                 const std::function<RecordBody(int)>& record) {
  std::vector<Point> memory;
  std::vector<Point> checkpoint;
  std::vector<Point> time;
  for (int size : sizes) {
    FoldCost cost =
        CostOf([&](FoldFiller& f) { prepare(f, size); }, record, size);
    double x = size;
    memory.push_back({x, cost.bytes});
    checkpoint.push_back({x, cost.serialized});
    time.push_back({x, cost.seconds * 1e6});
  }
  PrintLine("ledger fold, bytes in memory by " + name, memory);
  PrintLine("ledger fold, checkpoint bytes by " + name, checkpoint);
  PrintLine("ledger fold, apply us by " + name, time);
}

void MeasureLedger() {
  auto nothing = [](FoldFiller&, int) {};
  auto vote_all = [](FoldFiller& filler, int size) {
    for (int i = 0; i < size; ++i)
      filler.Apply(VoteOf(i));
  };
  constexpr int kBudgets = 1000;
  auto grant_some = [](FoldFiller& filler, int) {
    for (int i = 0; i < kBudgets; ++i) {
      filler.Apply(VoteOf(i));
      filler.Apply(GrantOf(i));
    }
  };
  MeasureFold("budget", {2000, 8000, 32000}, nothing, VoteOf);
  MeasureFold("account", {2000, 8000, 32000}, vote_all, GrantOf);
  MeasureFold("bill", {10000, 40000, 160000}, grant_some,
              [](int i) { return BillOf(i, kBudgets); });
}

constexpr int kItemsPerFile = 1000;

// Adds files of `count` items, as many as one file may hold.
void AddFiles(const std::string& name,
              int count,
              ConfigFiles* files,
              const std::function<std::string(int)>& item) {
  for (int first = 0; first < count; first += kItemsPerFile) {
    std::string text;
    for (int i = first; i < std::min(count, first + kItemsPerFile); ++i)
      absl::StrAppend(&text, i == first ? "[" : ",", item(i));
    (*files)[absl::StrCat(name, "-", first, ".json")] = text + "]";
  }
}

std::shared_ptr<const Configuration> ConfigurationOf(int budgets, int callers) {
  ConfigFiles files;
  files["10.json"] = R"([{"kind":"member","name":"m"},
{"kind":"rank","name":"urgent","order":0,"target_ms":1800,"floor":0.0},
{"kind":"model","name":"model","max_output_tokens":4096}])";
  AddFiles("20-budgets", budgets, &files, [](int i) {
    return absl::StrCat(R"({"kind":"budget","name":")", BudgetName(i),
                        R"(","member":"m","tokens":1000000})");
  });
  AddFiles("30-callers", callers, &files, [&](int i) {
    return absl::StrCat(R"({"kind":"caller","name":"c)", i,
                        R"(","member":"m","budget":")", BudgetName(i % budgets),
                        R"(","ranks":["urgent"],"key_sha256":")",
                        Sha256Hex(absl::StrCat(i)), R"("})");
  });
  auto merged = Configuration::Merge(files);
  if (!merged.ok())
    std::printf("%s\n", merged.status().ToString().substr(0, 500).c_str());
  return merged.ok() ? *merged : nullptr;
}

void MeasureConfiguration(const std::string& name, bool vary_budgets) {
  std::vector<Point> memory;
  std::vector<Point> time;
  ConfigurationOf(1000, 1);  // so that the first measured one is no slower
  for (int size : {1000, 4000, 16000}) {
    double before = AllocatedBytes();
    absl::Time start = absl::Now();
    auto merged =
        vary_budgets ? ConfigurationOf(size, 1) : ConfigurationOf(1, size);
    double us = absl::ToDoubleMicroseconds(absl::Now() - start);
    double x = size;
    memory.push_back({x, AllocatedBytes() - before});
    time.push_back({x, us});
  }
  PrintLine("configuration, bytes in memory by " + name, memory);
  PrintLine("configuration, parse and merge us by " + name, time);
}

size_t BatchBytes(const RecordBody& body, int count) {
  Batch batch;
  batch.writer = "router-1-0123456789abcdef";
  for (int i = 0; i < count; ++i)
    batch.records.push_back(Record{i + 1, 1'760'000'000'000, body});
  return EncodeBatch(batch).size();
}

void MeasureRecord(const std::string& name, const RecordBody& body) {
  std::vector<Point> bytes;
  for (int count : {1, 8, 64})
    bytes.push_back({static_cast<double>(count),
                     static_cast<double>(BatchBytes(body, count))});
  PrintLine("batch, bytes by " + name, bytes);
}

void MeasureSizes() {
  MeasureRecord("RouterAlive record",
                RouterAliveRecord{"router-1-0123456789abcdef"});
  MeasureRecord("GrantRequest record", GrantOf(1));
  MeasureRecord("Bill record", BillOf(1, 1000));
  fb::LoadT load;
  load.running = 3;
  load.slots = 16;
  fb::ConfigNoticeT question;
  question.offset = 1'000'000;
  question.version = 1000;
  question.asked_us = 1;
  std::printf("frame bytes with length: Load %zu, Ping %zu, question %zu\n",
              EncodeFrame(MakeFrame(load)).size() + 4,
              EncodeFrame(MakeFrame(fb::PingT())).size() + 4,
              EncodeFrame(MakeFrame(question)).size() + 4);
}

}  // namespace
}  // namespace hawthornhollow

int main() {
  hawthornhollow::MeasureLedger();
  hawthornhollow::MeasureConfiguration("budget", true);
  hawthornhollow::MeasureConfiguration("caller", false);
  hawthornhollow::MeasureSizes();
  return 0;
}
