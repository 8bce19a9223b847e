#include <gtest/gtest.h>

#include <boost/fiber/future.hpp>

#include "hawthornhollow/wire/wire.h"

namespace hawthornhollow {
namespace {

const Endpoint kLoopback{"127.0.0.1", 0};
constexpr absl::Duration kConnectTimeout = absl::Seconds(2);

FrameLinkOptions FastOptions() {
  FrameLinkOptions options;
  options.heartbeat = absl::Milliseconds(20);
  options.silence = absl::Milliseconds(200);
  return options;
}

fb::FrameT NumberedData(int64_t sequence, size_t size) {
  fb::DataT data;
  data.sequence = sequence;
  data.bytes.assign(size, 'x');
  return MakeFrame(std::move(data));
}

// A runtime, a listener whose connections run `serve`, and a way to run the
// test's body on a fiber.
class FrameLinkTest : public ::testing::Test {
 protected:
  void SetUp() override {
    auto runtime = Runtime::Create({.threads = 2});
    ASSERT_TRUE(runtime.ok()) << runtime.status();
    runtime_ = *std::move(runtime);
  }

  void Listen(std::function<void(std::unique_ptr<TcpStream>)> serve) {
    auto listener = TcpListener::Start(*runtime_, 0, kLoopback, serve);
    ASSERT_TRUE(listener.ok()) << listener.status();
    listener_ = *std::move(listener);
  }

  void RunFiber(std::function<void()> body) {
    boost::fibers::promise<void> done;
    auto future = done.get_future();
    runtime_->SpawnOn(1, [&] {
      body();
      done.set_value();
    });
    future.wait();
  }

  std::unique_ptr<TcpStream> Connect() {
    auto stream = TcpStream::Connect(listener_->local(), kConnectTimeout);
    EXPECT_TRUE(stream.ok()) << stream.status();
    return stream.ok() ? *std::move(stream) : nullptr;
  }

  std::unique_ptr<Runtime> runtime_;
  std::unique_ptr<TcpListener> listener_;
};

TEST_F(FrameLinkTest, FramesFromSeveralFibersArriveInEachOnesOrder) {
  const int frames_each = 2'000;
  boost::fibers::promise<std::vector<int64_t>> arrived;
  auto future = arrived.get_future();
  Listen([&](std::unique_ptr<TcpStream> stream) {
    auto link = FrameLink::Create(std::move(stream), FastOptions());
    std::vector<int64_t> sequences;
    link->Run([&](fb::FrameT frame) {
          sequences.push_back(frame.body.AsData()->sequence);
          if (sequences.size() == 2 * frames_each) {
            link->Close();
          }
        })
        .IgnoreError();
    arrived.set_value(std::move(sequences));
  });
  RunFiber([&] {
    auto link = FrameLink::Create(Connect(), FastOptions());
    auto send = [link](int64_t first) {
      for (int64_t i = 0; i < frames_each; ++i) {
        EXPECT_TRUE(link->Send(NumberedData(first + 2 * i, 100)).ok());
      }
    };
    runtime_->SpawnOn(0, [send] { send(0); });
    runtime_->SpawnOn(1, [send] { send(1); });
    EXPECT_FALSE(link->Run([](fb::FrameT) {}).ok());
    EXPECT_TRUE(link->closed());
    EXPECT_EQ(link->Send(NumberedData(0, 1)).code(),
              absl::StatusCode::kUnavailable);
  });
  const std::vector<int64_t> sequences = future.get();
  ASSERT_EQ(sequences.size(), 2u * frames_each);
  int64_t next[2] = {0, 1};
  for (int64_t sequence : sequences) {
    EXPECT_EQ(sequence, next[sequence % 2]);
    next[sequence % 2] += 2;
  }
}

TEST_F(FrameLinkTest, IdleLinkWithHeartbeatsStaysOpen) {
  Listen([&](std::unique_ptr<TcpStream> stream) {
    auto link = FrameLink::Create(std::move(stream), FastOptions());
    link->Run([](fb::FrameT) {}).IgnoreError();
  });
  RunFiber([&] {
    auto link = FrameLink::Create(Connect(), FastOptions());
    runtime_->SpawnOn(1, [link] {
      hawthornhollow::SleepFor(4 * FastOptions().silence);
      EXPECT_FALSE(link->closed());
      link->Close();
    });
    const absl::Status end = link->Run([](fb::FrameT) {});
    EXPECT_EQ(end.code(), absl::StatusCode::kCancelled) << end;
  });
}

TEST_F(FrameLinkTest, SilentPeerEndsTheLinkWithDeadlineExceeded) {
  Listen([&](std::unique_ptr<TcpStream> stream) {
    hawthornhollow::SleepFor(
        absl::Seconds(3));  // reads nothing, writes nothing
  });
  RunFiber([&] {
    auto link = FrameLink::Create(Connect(), FastOptions());
    const absl::Time start = absl::Now();
    const absl::Status end = link->Run([](fb::FrameT) {});
    EXPECT_EQ(end.code(), absl::StatusCode::kDeadlineExceeded) << end;
    EXPECT_LT(absl::Now() - start, absl::Seconds(2));
  });
}

TEST_F(FrameLinkTest, OversizedFrameEndsTheLinkWithDataLoss) {
  Listen([&](std::unique_ptr<TcpStream> stream) {
    const std::string header("\xff\xff\xff\x7f", 4);
    EXPECT_TRUE(stream->Write(header, kConnectTimeout).ok());
    hawthornhollow::SleepFor(absl::Milliseconds(100));
  });
  RunFiber([&] {
    auto link = FrameLink::Create(Connect(), FastOptions());
    const absl::Status end = link->Run([](fb::FrameT) {});
    EXPECT_EQ(end.code(), absl::StatusCode::kDataLoss) << end;
  });
}

TEST_F(FrameLinkTest, SendBeyondItsBoundsIsRefused) {
  Listen([&](std::unique_ptr<TcpStream> stream) {
    hawthornhollow::SleepFor(absl::Milliseconds(100));
  });
  RunFiber([&] {
    FrameLinkOptions options = FastOptions();
    options.max_frame_bytes = 1'000;
    options.max_queued_bytes = 2'000;
    auto link = FrameLink::Create(Connect(), options);
    EXPECT_EQ(link->Send(NumberedData(0, 2'000)).code(),
              absl::StatusCode::kInvalidArgument);
    EXPECT_TRUE(link->Send(NumberedData(0, 800)).ok());
    EXPECT_TRUE(link->Send(NumberedData(1, 800)).ok());
    EXPECT_EQ(link->Send(NumberedData(2, 800)).code(),
              absl::StatusCode::kResourceExhausted);
  });
}

}  // namespace
}  // namespace hawthornhollow
