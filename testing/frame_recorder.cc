#include "testing/frame_recorder.h"

#include <cstring>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

constexpr size_t kLengthBytes = 4;
constexpr absl::Duration kConnectTimeout = absl::Seconds(5);
constexpr absl::Duration kIdleTimeout = absl::Minutes(5);
constexpr absl::Duration kWriteTimeout = absl::Seconds(5);
constexpr absl::Duration kPoll = absl::Milliseconds(20);

// Reads the length that precedes a frame, little-endian.
uint32_t LengthOf(const char* bytes) {
  uint32_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i)
    length |= uint32_t{static_cast<uint8_t>(bytes[i])} << (8 * i);
  return length;
}

// Heartbeats, load reports, and the notice of a gate that does not serve yet.
bool IsUnasked(const fb::FrameBodyUnion& body) {
  if (const auto* refused = body.AsRefused())
    return refused->request.empty();
  return body.type == fb::FrameBody::Ping || body.type == fb::FrameBody::Pong ||
         body.type == fb::FrameBody::Load;
}

std::string Indented(const std::string& text) {
  std::string out;
  for (absl::string_view line : absl::StrSplit(text, '\n', absl::SkipEmpty()))
    absl::StrAppend(&out, "    | ", line, "\n");
  return out;
}

std::string TextOf(const std::vector<uint8_t>& bytes) {
  return std::string(bytes.begin(), bytes.end());
}

std::string DescribeHello(const fb::HelloT& f) {
  return absl::StrCat("Hello name=", f.name, " incarnation=", f.incarnation,
                      " server=", f.server, " protocol=", f.protocol, "\n");
}

std::string DescribeDispatch(const fb::DispatchT& f) {
  return absl::StrCat(
      "Dispatch request=", f.request, " attempt=", f.attempt,
      " router=", f.router, " fence=", f.fence,
      " kind=", fb::EnumNameCallKind(f.kind), " budget=", f.budget,
      " caller=", f.caller, " rank_order=", f.rank_order,
      " prompt_tokens=", f.prompt_tokens,
      " max_output_tokens=", f.max_output_tokens,
      " reserved_tokens=", f.reserved_tokens, " deadline_ms=", f.deadline_ms,
      "\n    ", f.method, " ", f.target, " ", f.content_type, "\n",
      Indented(TextOf(f.body)));
}

std::string DescribeAttach(const fb::AttachT& f) {
  return absl::StrCat("Attach request=", f.request, " attempt=", f.attempt,
                      " router=", f.router, " from_sequence=", f.from_sequence,
                      "\n");
}

std::string DescribeHead(const fb::HeadT& f) {
  return absl::StrCat("Head request=", f.request, " attempt=", f.attempt,
                      " status=", f.status, " content_type=", f.content_type,
                      "\n");
}

std::string DescribeRefused(const fb::RefusedT& f) {
  return absl::StrCat("Refused request=", f.request, " attempt=", f.attempt,
                      " reason=", fb::EnumNameRefusalReason(f.reason),
                      " detail=", f.detail, "\n");
}

// Frames but Data and End, which Transcript describes.
std::string Describe(const fb::FrameBodyUnion& body) {
  if (const auto* hello = body.AsHello())
    return DescribeHello(*hello);
  if (const auto* dispatch = body.AsDispatch())
    return DescribeDispatch(*dispatch);
  if (const auto* attach = body.AsAttach())
    return DescribeAttach(*attach);
  if (const auto* head = body.AsHead())
    return DescribeHead(*head);
  if (const auto* refused = body.AsRefused())
    return DescribeRefused(*refused);
  if (const auto* settled = body.AsSettled())
    return absl::StrCat("Settled request=", settled->request, "\n");
  return absl::StrCat(fb::EnumNameFrameBody(body.type), "\n");
}

// The frames of one link as text. Joins the Data frames of an answer and checks
// the End against them.
class Transcript {
 public:
  void Add(const RecordedFrame& recorded) {
    if (const auto* data = recorded.frame.body.AsData())
      return AddData(*data);
    absl::StrAppend(&text_, recorded.to_gate ? "  router: " : "  gate:   ");
    if (const auto* end = recorded.frame.body.AsEnd())
      return AddEnd(*end);
    absl::StrAppend(&text_, Describe(recorded.frame.body));
  }
  const std::string& text() const { return text_; }

 private:
  void AddData(const fb::DataT& data) {
    if (data.sequence != next_sequence_)
      absl::StrAppend(&text_, "  gate:   Data out of order\n");
    ++next_sequence_;
    answer_ += TextOf(data.bytes);
  }

  void AddEnd(const fb::EndT& f) {
    bool last = f.sequence == next_sequence_;
    bool whole = f.checksum == StableHash(answer_) &&
                 f.bytes == static_cast<int64_t>(answer_.size());
    absl::StrAppend(&text_, "Data request=", f.request, " attempt=", f.attempt,
                    " sequences from 0\n", Indented(answer_),
                    "  gate:   End request=", f.request, " attempt=", f.attempt,
                    " sequence=", last ? "the next" : "another",
                    " kind=", fb::EnumNameEndKind(f.kind), " bytes=", f.bytes,
                    " checksum=", whole ? "of the answer" : "of another",
                    " prompt_tokens=", f.prompt_tokens,
                    " output_tokens=", f.output_tokens, " detail=", f.detail,
                    "\n");
    answer_.clear();
    next_sequence_ = 0;
  }

  std::string text_;
  std::string answer_;
  int64_t next_sequence_ = 0;
};

}  // namespace

// One connection of a router and the connection to the gate that it is carried
// on to. Both fibers that carry it share it.
struct FrameRecorder::Link {
  std::string server;
  std::string router;  // guarded by the recorder's lock
  std::unique_ptr<TcpStream> from_router;
  std::unique_ptr<TcpStream> to_gate;
};

FrameRecorder::FrameRecorder(std::unique_ptr<Runtime> runtime)
    : runtime_(std::move(runtime)) {}

FrameRecorder::~FrameRecorder() = default;

absl::StatusOr<std::unique_ptr<FrameRecorder>> FrameRecorder::Create() {
  auto runtime = Runtime::Create({.threads = 1});
  if (!runtime.ok())
    return runtime.status();
  return std::unique_ptr<FrameRecorder>(new FrameRecorder(*std::move(runtime)));
}

absl::StatusOr<Endpoint> FrameRecorder::Relay(const std::string& server,
                                              const Endpoint& gate) {
  auto listener = TcpListener::Start(
      *runtime_, 0, Endpoint{"127.0.0.1", 0},
      [this, server, gate](std::unique_ptr<TcpStream> stream) {
        Serve(server, gate, std::move(stream));
      });
  if (!listener.ok())
    return listener.status();
  listeners_.push_back(*std::move(listener));
  return listeners_.back()->local();
}

bool FrameRecorder::WaitFor(fb::FrameBody kind, absl::Duration timeout) {
  absl::Time deadline = absl::Now() + timeout;
  while (absl::Now() < deadline) {
    {
      std::lock_guard lock(mutex_);
      for (const RecordedFrame& recorded : frames_) {
        if (recorded.frame.body.type == kind)
          return true;
      }
    }
    absl::SleepFor(kPoll);
  }
  return false;
}

std::string FrameRecorder::TakeText() {
  std::vector<RecordedFrame> frames;
  {
    std::lock_guard lock(mutex_);
    frames.swap(frames_);
  }
  std::map<std::string, Transcript> by_link;
  for (const RecordedFrame& recorded : frames)
    by_link[recorded.router + " and " + recorded.server].Add(recorded);
  std::string text;
  for (const auto& [link, transcript] : by_link)
    absl::StrAppend(&text, link, "\n", transcript.text());
  return text;
}

void FrameRecorder::Serve(const std::string& server,
                          const Endpoint& gate,
                          std::unique_ptr<TcpStream> from_router) {
  auto link = std::make_shared<Link>();
  link->server = server;
  link->from_router = std::move(from_router);
  auto to_gate = TcpStream::Connect(gate, kConnectTimeout);
  if (!to_gate.ok())
    return;
  link->to_gate = *std::move(to_gate);
  runtime_->SpawnOn(0, [this, link] { Pump(*link, false); });
  Pump(*link, true);
}

void FrameRecorder::Pump(Link& link, bool to_gate) {
  TcpStream& from = to_gate ? *link.from_router : *link.to_gate;
  TcpStream& to = to_gate ? *link.to_gate : *link.from_router;
  std::string bytes;
  while (true) {
    bytes.resize(kLengthBytes);
    if (!from.ReadFull(bytes.data(), kLengthBytes, kIdleTimeout).ok())
      break;
    size_t length = LengthOf(bytes.data());
    bytes.resize(kLengthBytes + length);
    if (!from.ReadFull(bytes.data() + kLengthBytes, length, kIdleTimeout).ok())
      break;
    auto frame = DecodeFrame(std::string_view(bytes).substr(kLengthBytes));
    if (frame.ok())
      Record(link, to_gate, *std::move(frame));
    if (!to.Write(bytes, kWriteTimeout).ok())
      break;
  }
  from.Close();
  to.Close();
}

void FrameRecorder::Record(Link& link, bool to_gate, fb::FrameT frame) {
  if (IsUnasked(frame.body))
    return;
  std::lock_guard lock(mutex_);
  const auto* hello = frame.body.AsHello();
  if (hello && to_gate)
    link.router = hello->name;
  frames_.push_back({link.router, link.server, to_gate, std::move(frame)});
}

}  // namespace hawthornhollow
