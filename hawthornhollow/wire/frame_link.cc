// Carries frames over one TCP connection.
//
// Run's fiber reads; a second fiber of the same thread, started by Run, writes.
// Send only appends to a queue under a lock, so any thread may call it. The
// writer takes the whole queue at once and hands it to the connection as one
// write, which bounds the system calls under load, and puts a Ping in between
// every `heartbeat`.
//
// The peer sends a Ping every heartbeat too, so a healthy link never waits
// longer than that for a frame. A read that waits for `silence` means that
// something between the ends has lost the connection, even if TCP shows none
// of it, and ends the link.
//
// Bounds: one frame is at most max_frame_bytes, checked before its buffer is
// allocated; the queue is at most max_queued_bytes. The connection is released
// when Run returns, on the thread that it belongs to.

#include <array>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <chrono>
#include <mutex>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/wire/wire.h"

namespace hawthornhollow {
namespace {

constexpr size_t kLengthBytes = 4;

void AppendLength(size_t length, std::string* out) {
  for (size_t i = 0; i < kLengthBytes; ++i) {
    out->push_back(static_cast<char>((length >> (8 * i)) & 0xff));
  }
}

size_t ParseLength(const std::array<char, kLengthBytes>& bytes) {
  size_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    length |= static_cast<size_t>(static_cast<uint8_t>(bytes[i])) << (8 * i);
  }
  return length;
}

}  // namespace

class FrameLink::Impl {
 public:
  Impl(std::unique_ptr<TcpStream> stream, const FrameLinkOptions& options)
      : options_(options), peer_(stream->peer()), stream_(std::move(stream)) {}

  absl::Status Send(const fb::FrameT& frame) {
    const std::string bytes = EncodeFrame(frame);
    if (bytes.size() > options_.max_frame_bytes) {
      return Error(absl::StatusCode::kInvalidArgument, "link.send",
                   absl::StrCat("frame of ", bytes.size(), " bytes"));
    }
    std::lock_guard<boost::fibers::mutex> lock(mutex_);
    if (closed_) {
      return Error(absl::StatusCode::kUnavailable, "link.send", "link ended");
    }
    if (queue_.size() + kLengthBytes + bytes.size() >
        options_.max_queued_bytes) {
      return Error(absl::StatusCode::kResourceExhausted, "link.send",
                   absl::StrCat(queue_.size(), " bytes queued"));
    }
    Enqueue(bytes);
    return absl::OkStatus();
  }

  absl::Status Run(const Handler& handler) {
    boost::fibers::fiber writer(boost::fibers::launch::post,
                                [this] { WriteLoop(); });
    const absl::Status read = ReadLoop(handler);
    End(read);
    writer.join();
    std::lock_guard<boost::fibers::mutex> lock(mutex_);
    stream_.reset();
    return end_;
  }

  void Close() {
    End(Error(absl::StatusCode::kCancelled, "link.run", "closed here"));
  }

  bool closed() const {
    std::lock_guard<boost::fibers::mutex> lock(mutex_);
    return closed_;
  }

  const Endpoint& peer() const { return peer_; }

 private:
  absl::Status Error(absl::StatusCode code,
                     std::string_view step,
                     std::string_view detail) const {
    return ErrorAt(code, step, peer_.ToString(), detail);
  }

  // Requires mutex_.
  void Enqueue(std::string_view bytes) {
    AppendLength(bytes.size(), &queue_);
    queue_.append(bytes);
    wake_.notify_one();
  }

  // The first reason given stays.
  void End(const absl::Status& reason) {
    std::lock_guard<boost::fibers::mutex> lock(mutex_);
    if (!closed_) {
      closed_ = true;
      end_ = reason;
    }
    if (stream_ != nullptr) {
      stream_->Close();
    }
    wake_.notify_all();
  }

  absl::Status ReadLoop(const Handler& handler) {
    while (!closed()) {
      absl::StatusOr<fb::FrameT> frame = ReadFrame();
      if (!frame.ok()) {
        return frame.status();
      }
      if (frame->body.type == fb::FrameBody::Pong) {
        continue;
      }
      if (const fb::PingT* ping = frame->body.AsPing()) {
        AnswerPing(*ping);
        continue;
      }
      handler(*std::move(frame));
    }
    return absl::OkStatus();  // End has a reason already.
  }

  absl::StatusOr<fb::FrameT> ReadFrame() {
    std::array<char, kLengthBytes> header;
    absl::Status status =
        stream_->ReadFull(header.data(), header.size(), options_.silence);
    if (!status.ok()) {
      return Annotate(status, "link.read", peer_.ToString());
    }
    const size_t length = ParseLength(header);
    if (length == 0 || length > options_.max_frame_bytes) {
      return Error(absl::StatusCode::kDataLoss, "link.read",
                   absl::StrCat("frame length ", length));
    }
    std::string bytes(length, '\0');
    status = stream_->ReadFull(bytes.data(), bytes.size(), options_.silence);
    if (!status.ok()) {
      return Annotate(status, "link.read", peer_.ToString());
    }
    absl::StatusOr<fb::FrameT> frame = DecodeFrame(bytes);
    if (!frame.ok()) {
      return Annotate(frame.status(), "link.read", peer_.ToString());
    }
    return frame;
  }

  // A Pong that finds the queue full is left out: the peer hears the frames
  // that fill it.
  void AnswerPing(const fb::PingT& ping) {
    fb::PongT pong;
    pong.number = ping.number;
    Send(MakeFrame(std::move(pong))).IgnoreError();
  }

  void WriteLoop() {
    auto next_ping = std::chrono::steady_clock::now();
    while (true) {
      const std::string bytes = NextWrite(&next_ping);
      if (bytes.empty()) {
        return;
      }
      const absl::Status status = stream_->Write(bytes, options_.write_timeout);
      if (!status.ok()) {
        End(Annotate(status, "link.write", peer_.ToString()));
        return;
      }
    }
  }

  // Blocks until something is to be written; empty once the link has ended.
  std::string NextWrite(std::chrono::steady_clock::time_point* next_ping) {
    std::unique_lock<boost::fibers::mutex> lock(mutex_);
    while (!closed_ && queue_.empty()) {
      const auto now = std::chrono::steady_clock::now();
      if (now < *next_ping) {
        wake_.wait_until(lock, *next_ping);
        continue;
      }
      *next_ping = now + absl::ToChronoNanoseconds(options_.heartbeat);
      EnqueuePing();
    }
    if (closed_) {
      return "";
    }
    // Under constant load the queue is never empty above.
    const auto now = std::chrono::steady_clock::now();
    if (now >= *next_ping) {
      *next_ping = now + absl::ToChronoNanoseconds(options_.heartbeat);
      EnqueuePing();
    }
    return std::exchange(queue_, std::string());
  }

  // Requires mutex_.
  void EnqueuePing() {
    fb::PingT ping;
    ping.number = ++pings_;
    Enqueue(EncodeFrame(MakeFrame(std::move(ping))));
  }

  const FrameLinkOptions options_;
  const Endpoint peer_;
  mutable boost::fibers::mutex mutex_;
  boost::fibers::condition_variable wake_;
  std::unique_ptr<TcpStream> stream_;  // null once Run has returned
  std::string queue_;                  // frames with their lengths
  bool closed_ = false;
  absl::Status end_;
  int64_t pings_ = 0;
};

std::shared_ptr<FrameLink> FrameLink::Create(std::unique_ptr<TcpStream> stream,
                                             const FrameLinkOptions& options) {
  return std::shared_ptr<FrameLink>(
      new FrameLink(std::make_unique<Impl>(std::move(stream), options)));
}

FrameLink::FrameLink(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
FrameLink::~FrameLink() = default;

absl::Status FrameLink::Send(const fb::FrameT& frame) {
  return impl_->Send(frame);
}
absl::Status FrameLink::Run(const Handler& handler) {
  return impl_->Run(handler);
}
void FrameLink::Close() {
  impl_->Close();
}
bool FrameLink::closed() const {
  return impl_->closed();
}
const Endpoint& FrameLink::peer() const {
  return impl_->peer();
}

}  // namespace hawthornhollow
