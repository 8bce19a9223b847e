#include "review/common-3/store.h"

#include <cstdlib>

namespace review {
namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kOffsetBytes = 8;
constexpr size_t kRepeatsKnown = 5;

const Headers kJson = {{"Content-Type", "application/json"},
                       {"Store-Era", "0"}};

int64_t Number(const std::string& text) {
  return std::strtoll(text.c_str(), nullptr, 10);
}

void AppendNumber(std::string* out, uint64_t value, size_t bytes) {
  for (size_t i = bytes; i-- > 0;)
    out->push_back(static_cast<char>(value >> (8 * i) & 0xff));
}

std::string Base64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group <<= 8;
      if (i + j < bytes.size())
        group |= static_cast<unsigned char>(bytes[i + j]);
    }
    for (size_t j = 0; j < 4; ++j) {
      const bool is_padding = j > 1 && i + j > bytes.size();
      text += is_padding ? '=' : kDigits[group >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

std::string Refusal(const std::string& reason, int64_t expected) {
  return "{\"reason\":\"" + reason +
         "\",\"sequence\":" + std::to_string(expected) + "}";
}

}  // namespace

Store::Store(size_t gates) : gates_(gates) {
  for (size_t i = 0; i < gates; ++i) {
    gates_[i].server = std::make_unique<Server>(
        Server::ForEachRequest([this, i](const Request& request, int socket) {
          return SendAll(socket, Answer(i, request));
        }));
  }
}

void Store::TurnAway(size_t gate, bool away) {
  const std::lock_guard lock(mutex_);
  gates_[gate].away = away;
}

void Store::Put(const std::string& topic,
                const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(mutex_);
  topics_[topic].push_back({key, value});
}

std::string Store::Answer(size_t gate, const Request& request) {
  const std::lock_guard lock(mutex_);
  if (gates_[gate].away)
    return ResponseBytes(503, kJson, "{}");
  if (request.Path() == "/log-append")
    return Append(request);
  if (request.Path() == "/log-read")
    return Read(request);
  if (request.Path() == "/log-newest")
    return Newest(request);
  return ResponseBytes(404, kJson, "{}");
}

std::string Store::Append(const Request& request) {
  std::vector<Record>& records = topics_[request.Query("topic")];
  const auto end = static_cast<int64_t>(records.size());
  const std::string at = request.Query("at");
  if (!at.empty() && Number(at) != end) {
    return ResponseBytes(412, kJson, "{\"end\":" + std::to_string(end) + "}");
  }
  const std::string name = request.Query("producer");
  const int64_t epoch = Number(request.Query("epoch"));
  const int64_t sequence = Number(request.Query("sequence"));
  Producer& producer = producers_[request.Query("topic") + "/" + name];
  if (!name.empty()) {
    if (epoch < producer.epoch)
      return ResponseBytes(409, kJson, Refusal("fenced", 0));
    if (epoch > producer.epoch)
      producer = {.epoch = epoch, .last = {}};
    for (const Answered& answered : producer.last) {
      if (answered.sequence == sequence)
        return ResponseBytes(200, kJson, answered.body);
    }
    if (!producer.last.empty() &&
        sequence != producer.last.back().sequence + 1) {
      return ResponseBytes(409, kJson,
                           Refusal("seq", producer.last.back().sequence + 1));
    }
  }
  const std::string& body = request.body;
  if (body.size() > kLengthBytes) {
    const auto key_bytes = static_cast<unsigned char>(body[kLengthBytes]);
    records.push_back({body.substr(kLengthBytes + 1, key_bytes),
                       body.substr(kLengthBytes + 1 + key_bytes)});
  }
  const std::string answer = "{\"offset\":" + std::to_string(end) +
                             ",\"end\":" + std::to_string(records.size()) + "}";
  producer.last.push_back({sequence, answer});
  if (producer.last.size() > kRepeatsKnown)
    producer.last.pop_front();
  return ResponseBytes(200, kJson, answer);
}

std::string Store::Read(const Request& request) {
  const std::vector<Record>& records = topics_[request.Query("topic")];
  const auto from = static_cast<size_t>(Number(request.Query("from")));
  if (from > records.size())
    return ResponseBytes(410, kJson, "{\"first\":0}");
  std::string body;
  AppendNumber(&body, records.size(), kOffsetBytes);
  AppendNumber(&body, 0, kOffsetBytes);
  for (size_t i = from; i < records.size(); ++i) {
    const Record& record = records[i];
    AppendNumber(&body, 1 + record.key.size() + record.value.size(),
                 kLengthBytes);
    AppendNumber(&body, record.key.size(), 1);
    body += record.key + record.value;
  }
  return ResponseBytes(200, {{"Store-Era", "0"}}, body);
}

std::string Store::Newest(const Request& request) {
  const std::vector<Record>& records = topics_[request.Query("topic")];
  std::map<std::string, size_t> newest;
  for (size_t i = 0; i < records.size(); ++i) {
    if (records[i].value.empty())
      newest.erase(records[i].key);
    else
      newest[records[i].key] = i;
  }
  std::string items;
  for (const auto& [key, offset] : newest) {
    items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" + key +
             "\",\"value\":\"" + Base64(records[offset].value) +
             "\",\"offset\":" + std::to_string(offset) + "}";
  }
  return ResponseBytes(200, kJson,
                       "{\"items\":[" + items +
                           "],\"has_more\":false,\"end\":" +
                           std::to_string(records.size()) + "}");
}

}  // namespace review
