#include "testing/tcp_relay.h"

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <future>
#include <thread>
#include <utility>
#include <vector>

#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kBufferBytes = 16 * 1024;

tcp::endpoint AsioEndpoint(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.address), endpoint.port};
}

// One accepted connection and its connection onwards. Used on the relay's
// thread only.
class Pair : public std::enable_shared_from_this<Pair> {
 public:
  Pair(tcp::socket near,
       asio::io_context& context,
       const std::atomic<int64_t>& delay_us)
      : near_(std::move(near)),
        far_(context),
        delay_us_(delay_us),
        outward_(context),
        inward_(context) {}

  void Begin(const Endpoint& target) {
    far_.async_connect(AsioEndpoint(target),
                       [self = shared_from_this()](error_code error) {
                         if (error)
                           self->Close();
                         self->Pump(self->near_, self->far_, self->outward_);
                         self->Pump(self->far_, self->near_, self->inward_);
                       });
  }
  void Silence() { outward_.silent = inward_.silent = true; }
  void LoseAnswers() { inward_.silent = true; }
  void Close() {
    error_code ignored;
    near_.close(ignored);
    far_.close(ignored);
  }

 private:
  // Bytes on their way in one direction.
  struct Lane {
    explicit Lane(asio::io_context& context) : timer(context) {}
    std::array<char, kBufferBytes> buffer;
    asio::steady_timer timer;
    bool silent = false;
  };

  void Pump(tcp::socket& from, tcp::socket& to, Lane& lane) {
    auto on_read = [self = shared_from_this(), &from, &to, &lane](
                       error_code error, size_t size) {
      if (error)
        self->OnEnd();
      else if (lane.silent)
        self->Pump(from, to, lane);
      else
        self->ForwardLater(from, to, lane, size);
    };
    from.async_read_some(asio::buffer(lane.buffer), std::move(on_read));
  }
  void ForwardLater(tcp::socket& from,
                    tcp::socket& to,
                    Lane& lane,
                    size_t size) {
    const int64_t delay_us = delay_us_;
    if (delay_us == 0)
      return Forward(from, to, lane, size);
    lane.timer.expires_after(std::chrono::microseconds(delay_us));
    lane.timer.async_wait(
        [self = shared_from_this(), &from, &to, &lane, size](error_code) {
          self->Forward(from, to, lane, size);
        });
  }
  void Forward(tcp::socket& from, tcp::socket& to, Lane& lane, size_t size) {
    auto on_written = [self = shared_from_this(), &from, &to, &lane](
                          error_code error, size_t) {
      if (error)
        self->OnEnd();
      else
        self->Pump(from, to, lane);
    };
    asio::async_write(to, asio::buffer(lane.buffer.data(), size),
                      std::move(on_written));
  }
  void OnEnd() {
    if (!outward_.silent && !inward_.silent)
      Close();
  }

  tcp::socket near_;
  tcp::socket far_;
  const std::atomic<int64_t>& delay_us_;
  Lane outward_;
  Lane inward_;
};

}  // namespace

class TcpRelay::Impl {
 public:
  explicit Impl(const Endpoint& target)
      : target_(target),
        acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        endpoint_{"127.0.0.1", acceptor_.local_endpoint().port()} {
    Accept();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~Impl() {
    context_.stop();
    thread_.join();
  }

  const Endpoint& endpoint() const { return endpoint_; }
  int64_t accepted() const { return accepted_; }

  void SetMode(RelayMode mode) {
    RunOnThread([this, mode] {
      mode_ = mode;
      ForOpenPairs([mode](Pair& pair) {
        if (mode == RelayMode::kSilent)
          pair.Silence();
        else if (mode == RelayMode::kCut)
          pair.Close();
        else if (mode == RelayMode::kAnswersLost)
          pair.LoseAnswers();
      });
    });
  }
  void SetDelay(absl::Duration delay) {
    delay_us_ = absl::ToInt64Microseconds(delay);
  }
  void SilenceOpenConnections() {
    RunOnThread([this] { ForOpenPairs([](Pair& pair) { pair.Silence(); }); });
  }

 private:
  void RunOnThread(std::function<void()> body) {
    std::packaged_task<void()> task(std::move(body));
    std::future<void> done = task.get_future();
    asio::post(context_, [&task] { task(); });
    done.wait();
  }
  void ForOpenPairs(const std::function<void(Pair&)>& body) {
    for (const std::weak_ptr<Pair>& weak : pairs_) {
      if (auto pair = weak.lock())
        body(*pair);
    }
  }
  void Accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket near) {
      if (!error)
        OnAccepted(std::move(near));
      Accept();
    });
  }
  void OnAccepted(tcp::socket near) {
    ++accepted_;
    auto pair = std::make_shared<Pair>(std::move(near), context_, delay_us_);
    if (mode_ == RelayMode::kCut)
      return;
    if (mode_ == RelayMode::kSilent)
      pair->Silence();
    if (mode_ == RelayMode::kAnswersLost)
      pair->LoseAnswers();
    pairs_.push_back(pair);
    pair->Begin(target_);
  }

  const Endpoint target_;
  asio::io_context context_;
  tcp::acceptor acceptor_;
  const Endpoint endpoint_;
  std::thread thread_;
  std::atomic<int64_t> accepted_{0};
  std::atomic<int64_t> delay_us_{0};
  RelayMode mode_ = RelayMode::kPass;
  std::vector<std::weak_ptr<Pair>> pairs_;
};

TcpRelay::TcpRelay(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
TcpRelay::~TcpRelay() = default;

absl::StatusOr<std::unique_ptr<TcpRelay>> TcpRelay::Start(
    const Endpoint& target) {
  try {
    auto impl = std::make_unique<Impl>(target);
    return std::unique_ptr<TcpRelay>(new TcpRelay(std::move(impl)));
  } catch (const boost::system::system_error& error) {
    return ErrorAt(absl::StatusCode::kUnavailable, "relay.listen",
                   target.ToString(), error.what());
  }
}

const Endpoint& TcpRelay::endpoint() const {
  return impl_->endpoint();
}
void TcpRelay::SetMode(RelayMode mode) {
  impl_->SetMode(mode);
}
void TcpRelay::SetDelay(absl::Duration delay) {
  impl_->SetDelay(delay);
}
void TcpRelay::SilenceOpenConnections() {
  impl_->SilenceOpenConnections();
}
int64_t TcpRelay::accepted() const {
  return impl_->accepted();
}

}  // namespace hawthornhollow
