// A stream's socket belongs to one thread. Operations are started there by
// fibers; Close() from elsewhere is passed to it. The state is shared with such
// a passed call, so that the stream may be destroyed before it runs.
//
// Reads go through a buffer of kReadBufferBytes, so that a frame's length and
// its body usually cost one system call. Larger reads bypass the buffer.

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <cstring>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/runtime/asio_internal.h"
#include "hawthornhollow/runtime/tcp_stream_internal.h"

namespace hawthornhollow {
namespace {

constexpr size_t kReadBufferBytes = 8 * 1024;

using boost::system::error_code;

}  // namespace

class TcpStream::Impl {
 public:
  Impl(std::shared_ptr<IoThread> thread, TimedStream stream, Endpoint peer)
      : state_(std::make_shared<State>(std::move(thread),
                                       std::move(stream),
                                       std::move(peer))) {}
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl() { Close(); }

  absl::Status ReadFull(char* data, size_t size, absl::Duration timeout);
  absl::Status Write(std::string_view data, absl::Duration timeout);
  void Close();
  const Endpoint& peer() const { return state_->peer; }

 private:
  struct State {
    State(std::shared_ptr<IoThread> thread, TimedStream stream, Endpoint peer)
        : thread(std::move(thread)),
          stream(std::move(stream)),
          peer(std::move(peer)) {}

    std::shared_ptr<IoThread> thread;
    TimedStream stream;
    Endpoint peer;
    std::array<char, kReadBufferBytes> buffer;
    size_t begin = 0;
    size_t end = 0;
  };

  static size_t TakeBuffered(State* state, char* data, size_t size);
  static size_t ReadSome(State* state,
                         char* data,
                         size_t size,
                         error_code* error);

  std::shared_ptr<State> state_;
};

size_t TcpStream::Impl::TakeBuffered(State* state, char* data, size_t size) {
  const size_t count = std::min(size, state->end - state->begin);
  std::memcpy(data, state->buffer.data() + state->begin, count);
  state->begin += count;
  return count;
}

size_t TcpStream::Impl::ReadSome(State* state,
                                 char* data,
                                 size_t size,
                                 error_code* error) {
  if (size >= kReadBufferBytes) {
    return Await(error, [&](auto done) {
      state->stream.async_read_some(boost::asio::buffer(data, size),
                                    std::move(done));
    });
  }
  state->begin = 0;
  state->end = Await(error, [&](auto done) {
    state->stream.async_read_some(boost::asio::buffer(state->buffer),
                                  std::move(done));
  });
  return TakeBuffered(state, data, size);
}

absl::Status TcpStream::Impl::ReadFull(char* data,
                                       size_t size,
                                       absl::Duration timeout) {
  const std::shared_ptr<State> state = state_;
  size_t filled = TakeBuffered(state.get(), data, size);
  if (filled < size)
    SetTimeout(&state->stream, timeout);
  while (filled < size) {
    error_code error;
    filled += ReadSome(state.get(), data + filled, size - filled, &error);
    if (error == boost::asio::error::eof) {
      return ErrorAt(filled == 0 ? absl::StatusCode::kOutOfRange
                                 : absl::StatusCode::kDataLoss,
                     "tcp.read", state->peer.ToString(), "end of stream");
    }
    if (error)
      return ErrorOf(error, "tcp.read", state->peer.ToString());
  }
  return absl::OkStatus();
}

absl::Status TcpStream::Impl::Write(std::string_view data,
                                    absl::Duration timeout) {
  const std::shared_ptr<State> state = state_;
  SetTimeout(&state->stream, timeout);
  error_code error;
  Await(&error, [&](auto done) {
    boost::asio::async_write(state->stream,
                             boost::asio::buffer(data.data(), data.size()),
                             std::move(done));
  });
  return ErrorOf(error, "tcp.write", state->peer.ToString());
}

void TcpStream::Impl::Close() {
  state_->thread->DispatchOrRun([state = state_] { state->stream.close(); });
}

absl::StatusOr<std::unique_ptr<TcpStream>> TcpStream::Connect(
    const Endpoint& peer,
    absl::Duration timeout) {
  std::shared_ptr<IoThread> thread = IoThread::Current();
  if (thread == nullptr) {
    return ErrorAt(absl::StatusCode::kFailedPrecondition, "tcp.connect",
                   peer.ToString(), "not on a runtime thread");
  }
  TimedStream stream(thread->context());
  absl::Status status = ConnectStream(&stream, peer, timeout);
  if (!status.ok())
    return status;
  return std::make_unique<TcpStream>(
      std::make_unique<Impl>(std::move(thread), std::move(stream), peer));
}

absl::StatusOr<bool> RefusesConnections(const Endpoint& peer,
                                        absl::Duration timeout) {
  const std::shared_ptr<IoThread> thread = IoThread::Current();
  if (thread == nullptr) {
    return ErrorAt(absl::StatusCode::kFailedPrecondition, "tcp.probe",
                   peer.ToString(), "not on a runtime thread");
  }
  TimedStream stream(thread->context());
  SetTimeout(&stream, timeout);
  error_code error;
  Await(&error, [&](auto done) {
    stream.async_connect(ToAsio(peer), std::move(done));
  });
  if (error == boost::asio::error::connection_refused)
    return true;
  if (error)
    return ErrorOf(error, "tcp.probe", peer.ToString());
  return false;
}

std::unique_ptr<TcpStream> MakeTcpStream(Socket socket) {
  error_code ignored;
  const Endpoint peer = FromAsio(socket.remote_endpoint(ignored));
  return std::make_unique<TcpStream>(std::make_unique<TcpStream::Impl>(
      IoThread::Current(), TimedStream(std::move(socket)), peer));
}

TcpStream::TcpStream(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

TcpStream::~TcpStream() = default;

absl::Status TcpStream::ReadFull(char* data,
                                 size_t size,
                                 absl::Duration timeout) {
  return impl_->ReadFull(data, size, timeout);
}

absl::Status TcpStream::Write(std::string_view data, absl::Duration timeout) {
  return impl_->Write(data, timeout);
}

void TcpStream::Close() {
  impl_->Close();
}

const Endpoint& TcpStream::peer() const {
  return impl_->peer();
}

}  // namespace hawthornhollow
