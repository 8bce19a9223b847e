#include "hawthornhollow/runtime/asio_internal.h"
#include "hawthornhollow/runtime/tcp_stream_internal.h"

namespace hawthornhollow {

class TcpListener::Impl {
 public:
  explicit Impl(std::shared_ptr<Acceptor> acceptor)
      : acceptor_(std::move(acceptor)) {}

  Acceptor& acceptor() { return *acceptor_; }

 private:
  std::shared_ptr<Acceptor> acceptor_;
};

absl::StatusOr<std::unique_ptr<TcpListener>> TcpListener::Start(
    Runtime& runtime,
    size_t thread,
    const Endpoint& local,
    Handler handler) {
  std::shared_ptr<IoThread> io = RuntimeAccess::Threads(runtime).at(thread);
  auto acceptor = Acceptor::Open(io, local, /*share_port=*/false);
  if (!acceptor.ok())
    return acceptor.status();
  auto shared_handler = std::make_shared<Handler>(std::move(handler));
  (*acceptor)->Start([io = io.get(), shared_handler](Socket socket) {
    auto accepted = std::make_shared<Socket>(std::move(socket));
    io->Spawn([shared_handler, accepted] {
      (*shared_handler)(MakeTcpStream(std::move(*accepted)));
    });
  });
  return std::make_unique<TcpListener>(std::make_shared<Impl>(*acceptor));
}

TcpListener::TcpListener(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

TcpListener::~TcpListener() {
  Stop();
}

const Endpoint& TcpListener::local() const {
  return impl_->acceptor().local();
}

void TcpListener::Stop() {
  impl_->acceptor().Close();
}

}  // namespace hawthornhollow
