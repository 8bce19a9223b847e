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
  Pair(tcp::socket near, asio::io_context& context)
      : near_(std::move(near)), far_(context) {}

  void Begin(const Endpoint& target) {
    far_.async_connect(AsioEndpoint(target),
                       [self = shared_from_this()](error_code error) {
                         if (error)
                           self->Close();
                         self->Pump(self->near_, self->far_, self->outward_);
                         self->Pump(self->far_, self->near_, self->inward_);
                       });
  }
  void Silence() { silent_ = true; }
  void Close() {
    error_code ignored;
    near_.close(ignored);
    far_.close(ignored);
  }

 private:
  using Buffer = std::array<char, kBufferBytes>;

  void Pump(tcp::socket& from, tcp::socket& to, Buffer& buffer) {
    auto on_read = [self = shared_from_this(), &from, &to, &buffer](
                       error_code error, size_t size) {
      if (error)
        self->OnEnd();
      else if (self->silent_)
        self->Pump(from, to, buffer);
      else
        self->Forward(from, to, buffer, size);
    };
    from.async_read_some(asio::buffer(buffer), std::move(on_read));
  }
  void Forward(tcp::socket& from,
               tcp::socket& to,
               Buffer& buffer,
               size_t size) {
    auto on_written = [self = shared_from_this(), &from, &to, &buffer](
                          error_code error, size_t) {
      if (error)
        self->OnEnd();
      else
        self->Pump(from, to, buffer);
    };
    asio::async_write(to, asio::buffer(buffer.data(), size),
                      std::move(on_written));
  }
  void OnEnd() {
    if (!silent_)
      Close();
  }

  tcp::socket near_;
  tcp::socket far_;
  Buffer outward_;
  Buffer inward_;
  bool silent_ = false;
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
      });
    });
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
    auto pair = std::make_shared<Pair>(std::move(near), context_);
    if (mode_ == RelayMode::kCut)
      return;
    if (mode_ == RelayMode::kSilent)
      pair->Silence();
    pairs_.push_back(pair);
    pair->Begin(target_);
  }

  const Endpoint target_;
  asio::io_context context_;
  tcp::acceptor acceptor_;
  const Endpoint endpoint_;
  std::thread thread_;
  std::atomic<int64_t> accepted_{0};
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
void TcpRelay::SilenceOpenConnections() {
  impl_->SilenceOpenConnections();
}
int64_t TcpRelay::accepted() const {
  return impl_->accepted();
}

}  // namespace hawthornhollow
