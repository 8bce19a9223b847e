#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <array>
#include <string>
#include <string_view>
#include <thread>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/base/log_writer_internal.h"

namespace hawthornhollow {
namespace {

constexpr size_t kMaxBytes = 64 * 1024;
constexpr int kFlood = 50'000;
constexpr std::string_view kNeverWritten = "no such line";

class LogWriterTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_EQ(pipe2(pipe_.data(), O_CLOEXEC), 0);
    writer_ = LogWriter::Create({.file_descriptor = pipe_[1],
                                 .max_bytes = kMaxBytes,
                                 .on_dropped = [this](int64_t lines) {
                                   writer_->Push(
                                       absl::StrCat("dropped ", lines, "\n"));
                                 }});
  }

  static std::string Line(int i) { return absl::StrCat("line ", i, "\n"); }

  // Reads until `text` comes, or all ends of the pipe are closed.
  std::string ReadUntil(std::string_view text) {
    std::string all;
    std::array<char, 4096> piece;
    while (all.find(text) == std::string::npos) {
      const ssize_t got = read(pipe_[0], piece.data(), piece.size());
      if (got <= 0)
        break;
      all.append(piece.data(), static_cast<size_t>(got));
    }
    return all;
  }

  std::array<int, 2> pipe_{};
  LogWriter* writer_ = nullptr;
};

TEST_F(LogWriterTest, ReaderThatReads_GetsAllLinesInOrder) {
  std::string expected;
  for (int i = 0; i < 100; ++i) {
    writer_->Push(Line(i));
    expected += Line(i);
  }
  EXPECT_TRUE(writer_->Flush(absl::Seconds(5)));
  EXPECT_EQ(ReadUntil("line 99\n"), expected);
  EXPECT_EQ(writer_->dropped(), 0);
}

TEST_F(LogWriterTest, ReaderThatStopped_BlocksNobodyAndIsToldWhatWasDropped) {
  const absl::Time begun = SteadyNow();
  for (int i = 0; i < kFlood; ++i)
    writer_->Push(Line(i));
  EXPECT_LT(SteadyNow() - begun, absl::Seconds(2));
  EXPECT_GT(writer_->dropped(), 0);
  EXPECT_FALSE(writer_->Flush(absl::Milliseconds(20)));
  // Lines may be dropped more than once before the flood is over, so the reader
  // goes on until all is written.
  std::string read;
  std::thread reader([&] { read = ReadUntil(kNeverWritten); });
  EXPECT_TRUE(writer_->Flush(absl::Seconds(5)));
  close(pipe_[1]);
  reader.join();
  EXPECT_EQ(read.rfind("line 0\nline 1\n", 0), 0U);
  EXPECT_NE(read.find("dropped"), std::string::npos);
}

TEST_F(LogWriterTest, ReaderThatIsGone_BlocksNobody) {
  signal(SIGPIPE, SIG_IGN);
  close(pipe_[0]);
  for (int i = 0; i < kFlood; ++i)
    writer_->Push(Line(i));
  EXPECT_TRUE(writer_->Flush(absl::Seconds(5)));
  EXPECT_EQ(writer_->dropped(), kFlood);
}

}  // namespace
}  // namespace hawthornhollow
