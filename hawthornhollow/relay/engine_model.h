#ifndef HAWTHORNHOLLOW_RELAY_ENGINE_MODEL_H_
#define HAWTHORNHOLLOW_RELAY_ENGINE_MODEL_H_

// A deterministic model of an inference engine, for tests of placement. It runs
// steps: each processes a chunk of the waiting prompts, first come first served
// among equally urgent ones, and generates one token for each running request.
//
//   EngineModel engine({.speed = 0.6});
//   if (engine.Submit(job, now_ms)) ...
//   engine.RunUntil(now_ms, [](const EngineModel::Progress& progress) {...});

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "hawthornhollow/relay/backend_server.h"

namespace hawthornhollow {

class EngineModel {
 public:
  struct Options {
    double speed = 1;
    double tokens_per_ms = 45;
    int64_t chunk_tokens = 2048;
    double step_ms = 5.5;
    double step_ms_per_request = 0.15;
    int64_t slots = 64;
    int64_t memory_tokens = 400'000;
  };
  struct Job {
    int64_t id = 0;
    std::vector<PromptPart> prompt;
    int64_t output_tokens = 0;
    int64_t urgency = 0;
  };
  struct Progress {
    int64_t job = 0;
    bool is_first_token = false;  // else the end
    double at_ms = 0;
    int64_t uncached_shared = 0;  // tokens of shared parts processed for it
  };

  explicit EngineModel(const Options& options) : options_(options) {}

  // Returns false if all slots are taken.
  bool Submit(const Job& job, double now_ms) {
    if (static_cast<int64_t>(waiting_.size() + running_.size()) >=
        options_.slots)
      return false;
    now_ms_ = std::max(now_ms_, now_ms);
    const auto position = std::find_if(
        waiting_.begin(), waiting_.end(),
        [&](const Active& other) { return other.job.urgency > job.urgency; });
    waiting_.insert(position, Active{.job = job});
    return true;
  }

  // Runs the steps that end by then, and the one in progress then.
  template <typename OnProgress>
  void RunUntil(double until_ms, const OnProgress& on_progress) {
    while (now_ms_ < until_ms && !(waiting_.empty() && running_.empty()))
      Step(on_progress);
    now_ms_ = std::max(now_ms_, until_ms);
  }

  int64_t UncachedTokens(const std::vector<PromptPart>& prompt) const {
    int64_t uncached = 0;
    bool is_prefix = true;
    for (const PromptPart& part : prompt) {
      is_prefix = is_prefix && cached_.contains(part.id);
      uncached += is_prefix ? 0 : part.tokens;
    }
    return uncached;
  }
  // Time until the first token of a job that was submitted now, with the least
  // urgent ones.
  double FirstTokenMs(const Job& job) const {
    double tokens = static_cast<double>(UncachedTokens(job.prompt));
    for (const Active& active : waiting_)
      tokens += static_cast<double>(Left(active));
    const double steps =
        1 + tokens / static_cast<double>(options_.chunk_tokens);
    return now_ms_ + tokens / Rate() + steps * StepMs();
  }
  double WorkMs(const Job& job) const {
    return static_cast<double>(UncachedTokens(job.prompt)) / Rate();
  }
  int64_t requests() const {
    return static_cast<int64_t>(waiting_.size() + running_.size());
  }
  bool full() const { return requests() >= options_.slots; }
  double prefill_ms() const { return prefill_ms_; }

 private:
  struct Active {
    Job job;
    int64_t left = -1;  // tokens to process; -1 before it begins
    int64_t uncached_shared = 0;
    int64_t generated = 0;
  };

  double Rate() const { return options_.tokens_per_ms * options_.speed; }
  double StepMs() const {
    return (options_.step_ms + options_.step_ms_per_request *
                                   static_cast<double>(running_.size())) /
           options_.speed;
  }
  int64_t Left(const Active& active) const {
    return active.left >= 0 ? active.left : UncachedTokens(active.job.prompt);
  }

  template <typename OnProgress>
  void Step(const OnProgress& on_progress) {
    int64_t budget = options_.chunk_tokens;
    std::vector<Active> processed;
    while (budget > 0 && !waiting_.empty()) {
      Active& next = waiting_.front();
      if (next.left < 0) {
        next.left = std::max<int64_t>(1, UncachedTokens(next.job.prompt));
        next.uncached_shared =
            std::max<int64_t>(0, next.left - next.job.prompt.back().tokens);
      }
      const int64_t taken = std::min(budget, next.left);
      budget -= taken;
      next.left -= taken;
      if (next.left > 0)
        break;
      Cache(next.job.prompt);
      processed.push_back(std::move(next));
      waiting_.pop_front();
    }
    const double prefill =
        static_cast<double>(options_.chunk_tokens - budget) / Rate();
    prefill_ms_ += prefill;
    now_ms_ += StepMs() + prefill;
    for (Active& active : running_)
      ++active.generated;
    for (Active& active : processed) {
      active.generated = 1;
      on_progress({.job = active.job.id,
                   .is_first_token = true,
                   .at_ms = now_ms_,
                   .uncached_shared = active.uncached_shared});
      running_.push_back(std::move(active));
    }
    std::erase_if(running_, [&](const Active& active) {
      if (active.generated < active.job.output_tokens)
        return false;
      on_progress({.job = active.job.id, .at_ms = now_ms_});
      return true;
    });
    Evict();
  }

  void Cache(const std::vector<PromptPart>& prompt) {
    for (auto part = prompt.rbegin(); part != prompt.rend(); ++part)
      cached_[part->id] = {part->tokens, ++uses_};
  }
  void Evict() {
    int64_t used = 0;
    for (const Active& active : running_)
      used += active.generated;
    for (const auto& [id, part] : cached_)
      used += part.first;
    while (used > options_.memory_tokens && !cached_.empty()) {
      const auto oldest = std::min_element(
          cached_.begin(), cached_.end(), [](const auto& a, const auto& b) {
            return a.second.second < b.second.second;
          });
      used -= oldest->second.first;
      cached_.erase(oldest);
    }
  }

  Options options_;
  std::deque<Active> waiting_;   // in order of processing
  std::vector<Active> running_;  // have their first token
  // Prompt part id -> tokens, count of uses at its last use.
  std::map<std::string, std::pair<int64_t, int64_t>> cached_;
  int64_t uses_ = 0;
  double now_ms_ = 0;  // end of the last step
  double prefill_ms_ = 0;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_ENGINE_MODEL_H_
