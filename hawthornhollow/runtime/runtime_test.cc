#include "hawthornhollow/runtime/runtime.h"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <csignal>
#include <future>
#include <mutex>
#include <set>
#include <thread>

namespace hawthornhollow {
namespace {

const Endpoint kAnyPort{"127.0.0.1", 0};
constexpr absl::Duration kLong = absl::Seconds(5);
constexpr int kRounds = 20000;

class RuntimeTest : public testing::Test {
 protected:
  void SetUp() override {
    auto runtime = Runtime::Create({.threads = 2});
    ASSERT_TRUE(runtime.ok()) << runtime.status();
    runtime_ = *std::move(runtime);
  }

  // Runs `task` on a fiber of `thread` and waits for it.
  void RunOn(size_t thread, const std::function<void()>& task) {
    std::promise<void> done;
    runtime_->SpawnOn(thread, [&] {
      task();
      done.set_value();
    });
    done.get_future().wait();
  }

  // Starts a listener on thread 0 that keeps its streams in accepted_.
  std::unique_ptr<TcpListener> Listen(TcpListener::Handler handler) {
    auto listener =
        TcpListener::Start(*runtime_, 0, kAnyPort, std::move(handler));
    EXPECT_TRUE(listener.ok()) << listener.status();
    return *std::move(listener);
  }

  std::unique_ptr<Runtime> runtime_;
};

void Echo(std::unique_ptr<TcpStream> stream) {
  std::array<char, 4> data;
  while (stream->ReadFull(data.data(), data.size(), kLong).ok()) {
    if (!stream->Write({data.data(), data.size()}, kLong).ok())
      return;
  }
}

TEST(EndpointTest, ParseOfTextsAcceptsOnlyIpAndPort) {
  const std::vector<std::pair<std::string, bool>> cases = {
      {"127.0.0.1:80", true},  {"[::1]:65535", true},    {"127.0.0.1", false},
      {"localhost:80", false}, {"127.0.0.1:x", false},   {":80", false},
      {"127.0.0.1:", false},   {"1.2.3.4:65536", false}, {"", false}};
  for (const auto& [text, valid] : cases) {
    const auto endpoint = Endpoint::Parse(text);
    EXPECT_EQ(endpoint.ok(), valid) << text;
    if (endpoint.ok()) {
      EXPECT_EQ(endpoint->ToString(), text);
    }
  }
}

TEST(RuntimeOptionsTest, CreateWithoutThreadsIsInvalid) {
  EXPECT_EQ(Runtime::Create({.threads = 0}).status().code(),
            absl::StatusCode::kInvalidArgument);
}

TEST_F(RuntimeTest, SpawnFromOutsideUsesThreadsInTurn) {
  std::mutex mutex;
  std::set<std::thread::id> threads;
  std::promise<void> done;
  std::atomic<int> left = 4;
  for (int i = 0; i < 4; ++i) {
    runtime_->Spawn([&] {
      {
        const std::lock_guard<std::mutex> lock(mutex);
        threads.insert(std::this_thread::get_id());
      }
      if (--left == 0)
        done.set_value();
    });
  }
  done.get_future().wait();
  EXPECT_EQ(threads.size(), 2u);
}

TEST_F(RuntimeTest, FibersOfTwoThreadsWakeEachOther) {
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable changed;
  int turn = 0;
  std::promise<void> done[2];
  for (int side = 0; side < 2; ++side) {
    runtime_->SpawnOn(side, [&, side] {
      std::unique_lock<boost::fibers::mutex> lock(mutex);
      while (turn < kRounds) {
        changed.wait(lock, [&] { return turn % 2 == side || turn >= kRounds; });
        ++turn;
        changed.notify_all();
      }
      lock.unlock();
      done[side].set_value();
    });
  }
  done[0].get_future().wait();
  done[1].get_future().wait();
  EXPECT_GE(turn, kRounds);
}

TEST_F(RuntimeTest, SleepOfOneFiberLetsOthersRun) {
  RunOn(0, [&] {
    std::atomic<bool> ran = false;
    runtime_->SpawnOn(0, [&] { ran = true; });
    const absl::Time start = absl::Now();
    hawthornhollow::SleepFor(absl::Milliseconds(20));
    EXPECT_TRUE(ran);
    EXPECT_GE(absl::Now() - start, absl::Milliseconds(20));
  });
}

TEST_F(RuntimeTest, ExceptionInFiberEndsOnlyThatFiber) {
  runtime_->SpawnOn(0,
                    [] { throw std::runtime_error("expected by the test"); });
  bool ran = false;
  RunOn(0, [&] { ran = true; });
  EXPECT_TRUE(ran);
}

TEST_F(RuntimeTest, StreamWhileFibersStayReadyStillMoves) {
  auto listener = Listen(Echo);
  std::atomic<bool> stop = false;
  std::promise<void> spinner_ended;
  runtime_->SpawnOn(0, [&] {
    while (!stop)
      boost::this_fiber::yield();
    spinner_ended.set_value();
  });
  RunOn(0, [&] {
    auto stream = TcpStream::Connect(listener->local(), kLong);
    ASSERT_TRUE(stream.ok()) << stream.status();
    char data[4];
    for (int i = 0; i < 100; ++i) {
      ASSERT_TRUE((*stream)->Write("ping", kLong).ok());
      ASSERT_TRUE((*stream)->ReadFull(data, sizeof(data), kLong).ok());
    }
    EXPECT_EQ(std::string_view(data, sizeof(data)), "ping");
  });
  stop = true;
  spinner_ended.get_future().wait();
}

TEST_F(RuntimeTest, ReadOfLargeDataArrivesWhole) {
  const std::string sent(1 << 20, 'x');
  auto listener = Listen([&](std::unique_ptr<TcpStream> stream) {
    EXPECT_TRUE(stream->Write(sent, kLong).ok());
  });
  RunOn(1, [&] {
    auto stream = TcpStream::Connect(listener->local(), kLong);
    ASSERT_TRUE(stream.ok());
    std::string received(sent.size(), '\0');
    EXPECT_TRUE((*stream)->ReadFull(received.data(), 3, kLong).ok());
    EXPECT_TRUE(
        (*stream)->ReadFull(received.data() + 3, sent.size() - 3, kLong).ok());
    EXPECT_EQ(received, sent);
    char more;
    EXPECT_EQ((*stream)->ReadFull(&more, 1, kLong).code(),
              absl::StatusCode::kOutOfRange);
  });
}

TEST_F(RuntimeTest, ReadEndingWithinDataIsDataLoss) {
  auto listener = Listen([](std::unique_ptr<TcpStream> stream) {
    EXPECT_TRUE(stream->Write("abc", kLong).ok());
  });
  RunOn(1, [&] {
    auto stream = TcpStream::Connect(listener->local(), kLong);
    ASSERT_TRUE(stream.ok());
    char data[4];
    EXPECT_EQ((*stream)->ReadFull(data, sizeof(data), kLong).code(),
              absl::StatusCode::kDataLoss);
  });
}

TEST_F(RuntimeTest, ReadFromSilentPeerTimesOut) {
  auto listener = Listen([](std::unique_ptr<TcpStream> stream) {
    char data;
    stream->ReadFull(&data, 1, kLong).IgnoreError();
  });
  RunOn(1, [&] {
    auto stream = TcpStream::Connect(listener->local(), kLong);
    ASSERT_TRUE(stream.ok());
    char data;
    EXPECT_EQ((*stream)->ReadFull(&data, 1, absl::Milliseconds(20)).code(),
              absl::StatusCode::kDeadlineExceeded);
  });
}

TEST_F(RuntimeTest, WriteToPeerThatReadsNothingTimesOut) {
  std::promise<void> finished;
  auto listener = Listen(
      [&](std::unique_ptr<TcpStream> stream) { finished.get_future().wait(); });
  RunOn(1, [&] {
    auto stream = TcpStream::Connect(listener->local(), kLong);
    ASSERT_TRUE(stream.ok());
    const std::string data(16 << 20, 'x');
    EXPECT_EQ((*stream)->Write(data, absl::Milliseconds(50)).code(),
              absl::StatusCode::kDeadlineExceeded);
  });
  finished.set_value();
}

TEST_F(RuntimeTest, CloseFromAnotherThreadFailsRead) {
  auto listener = Listen([](std::unique_ptr<TcpStream> stream) {
    char data;
    stream->ReadFull(&data, 1, kLong).IgnoreError();
  });
  RunOn(1, [&] {
    auto stream = TcpStream::Connect(listener->local(), kLong);
    ASSERT_TRUE(stream.ok());
    std::thread closer([&] { (*stream)->Close(); });
    char data;
    EXPECT_EQ((*stream)->ReadFull(&data, 1, kLong).code(),
              absl::StatusCode::kUnavailable);
    closer.join();
  });
}

TEST_F(RuntimeTest, ConnectToClosedPortIsUnavailable) {
  auto listener = Listen(Echo);
  const Endpoint closed = listener->local();
  listener.reset();
  RunOn(0, [&] {
    EXPECT_EQ(TcpStream::Connect(closed, kLong).status().code(),
              absl::StatusCode::kUnavailable);
    const auto refuses = RefusesConnections(closed, kLong);
    EXPECT_TRUE(refuses.ok() && *refuses);
  });
}

TEST_F(RuntimeTest, ProbeOfAListener_IsNotRefused) {
  auto listener = Listen(Echo);
  RunOn(0, [&] {
    const auto refuses = RefusesConnections(listener->local(), kLong);
    EXPECT_TRUE(refuses.ok() && !*refuses);
  });
}

TEST_F(RuntimeTest, ListenOnTakenPortFails) {
  auto listener = Listen(Echo);
  EXPECT_FALSE(TcpListener::Start(*runtime_, 1, listener->local(), Echo).ok());
}

TEST_F(RuntimeTest, StopWithBlockedFiberReturnsFromRun) {
  runtime_->Spawn([] { hawthornhollow::SleepFor(absl::Hours(1)); });
  runtime_->Spawn([&] { runtime_->Stop(); });
  runtime_->Run();
  runtime_.reset();
}

TEST_F(RuntimeTest, SecondSignalWhileDrainingChangesNothing) {
  std::atomic<int> calls = 0;
  std::atomic<bool> finished = false;
  std::thread sender([] {
    absl::SleepFor(absl::Milliseconds(50));
    kill(getpid(), SIGTERM);
    absl::SleepFor(absl::Milliseconds(20));
    kill(getpid(), SIGINT);
  });
  runtime_->Run([&] {
    ++calls;
    hawthornhollow::SleepFor(absl::Milliseconds(100));
    finished = true;
  });
  sender.join();
  EXPECT_EQ(calls, 1);
  EXPECT_TRUE(finished);
}

}  // namespace
}  // namespace hawthornhollow
