#include "hawthornhollow/config/checks.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"

namespace hawthornhollow {
namespace {

constexpr int64_t kMaxTargetMs = 24 * 60 * 60 * 1000;
constexpr int64_t kMaxSlots = 100'000;
constexpr int64_t kMaxConcurrent = 1'000'000;
constexpr double kMaxRequestsPerSecond = 1'000'000;
// The sum of floors may exceed 1 by rounding alone.
constexpr double kFloorTolerance = 1e-9;

}  // namespace

ConfigurationBuilder::ConfigurationBuilder(const ConfigFiles& files,
                                           std::vector<ConfigError>* errors)
    : errors_(errors),
      errors_before_(errors->size()),
      objects_(MergeFiles(files, errors)),
      config_(new Configuration()) {
  config_->files_ = files;
}

std::shared_ptr<const Configuration> ConfigurationBuilder::Build() {
  for (const auto& [id, object] : objects_)
    AddObject(id, object);
  CheckBudgets();
  CheckRanks();
  CheckCallers();
  CheckKeys();
  CheckServers();
  CheckAddresses();
  if (errors_->size() > errors_before_)
    return nullptr;
  return std::move(config_);
}

void ConfigurationBuilder::AddObject(const ObjectId& id,
                                     const MergedObject& object) {
  using Adder =
      void (ConfigurationBuilder::*)(const std::string&, FieldReader&);
  static const auto& adders = *new std::map<std::string, Adder>{
      {"budget", &ConfigurationBuilder::AddBudget},
      {"caller", &ConfigurationBuilder::AddCaller},
      {"member", &ConfigurationBuilder::AddMember},
      {"model", &ConfigurationBuilder::AddModel},
      {"rank", &ConfigurationBuilder::AddRank},
      {"server", &ConfigurationBuilder::AddServer},
      {"service", &ConfigurationBuilder::AddService},
  };
  FieldReader reader(id.ToString(), object.fields, object.file, errors_);
  (this->*adders.at(id.kind))(id.name, reader);
  reader.ReportUnknown();
}

void ConfigurationBuilder::AddMember(const std::string& name, FieldReader&) {
  config_->members_.push_back({name});
}

void ConfigurationBuilder::AddBudget(const std::string& name,
                                     FieldReader& reader) {
  Budget budget;
  budget.name = name;
  budget.member = reader.Name("member");
  budget.tokens = reader.Integer("tokens", {.min = 0, .max = kMaxTokens});
  config_->budgets_.push_back(std::move(budget));
}

void ConfigurationBuilder::AddRank(const std::string& name,
                                   FieldReader& reader) {
  Rank rank;
  rank.name = name;
  rank.order = static_cast<int32_t>(reader.Integer(
      "order", {.min = 0, .max = std::numeric_limits<int32_t>::max()}));
  rank.target_ms = reader.Integer("target_ms", {.min = 1, .max = kMaxTargetMs});
  rank.floor = reader.Number("floor", {.min = 0, .max = 1, .fallback = 0});
  config_->ranks_.push_back(std::move(rank));
}

void ConfigurationBuilder::AddCaller(const std::string& name,
                                     FieldReader& reader) {
  Caller caller;
  caller.name = name;
  caller.member = reader.Name("member");
  caller.budget = reader.Name("budget");
  caller.key_sha256 = reader.Sha256("key_sha256");
  caller.ranks = reader.Names("ranks");
  caller.workspace = reader.Name("workspace", Presence::kOptional);
  caller.max_concurrent = reader.Integer(
      "max_concurrent", {.min = 0, .max = kMaxConcurrent, .fallback = 0});
  caller.requests_per_second =
      reader.Number("requests_per_second",
                    {.min = 0, .max = kMaxRequestsPerSecond, .fallback = 0});
  caller.tokens_per_minute = reader.Integer(
      "tokens_per_minute", {.min = 0, .max = kMaxTokens, .fallback = 0});
  config_->callers_.push_back(std::move(caller));
}

void ConfigurationBuilder::AddModel(const std::string& name,
                                    FieldReader& reader) {
  Model model;
  model.name = name;
  model.max_output_tokens =
      reader.Integer("max_output_tokens", {.min = 1, .max = kMaxTokens});
  config_->models_.push_back(std::move(model));
}

void ConfigurationBuilder::AddService(const std::string& name,
                                      FieldReader& reader) {
  Service service;
  service.name = name;
  service.repeatable = reader.Flag("repeatable");
  service.tokens_per_call =
      reader.Integer("tokens_per_call", {.min = 0, .max = kMaxTokens});
  config_->services_.push_back(std::move(service));
}

void ConfigurationBuilder::AddServer(const std::string& name,
                                     FieldReader& reader) {
  Server server;
  server.name = name;
  server.model = reader.Name("model", Presence::kOptional);
  server.service = reader.Name("service", Presence::kOptional);
  server.address = reader.Address("address", PortRule::kPositive);
  server.failure_domain = reader.Name("failure_domain");
  server.slots = reader.Integer("slots", {.min = 1, .max = kMaxSlots});
  std::string state =
      reader.Choice("state", {"serving", "leaving"}, Presence::kOptional);
  server.state =
      state == "leaving" ? ServerState::kLeaving : ServerState::kServing;
  config_->servers_.push_back(std::move(server));
}

void ConfigurationBuilder::Report(const ObjectId& owner,
                                  const std::string& field,
                                  const std::string& reason) {
  const MergedObject& object = objects_.at(owner);
  FieldReader(owner.ToString(), object.fields, object.file, errors_)
      .Report(field, reason);
}

void ConfigurationBuilder::CheckExists(const ObjectId& owner,
                                       const std::string& field,
                                       const ObjectId& target) {
  if (target.name.empty() || objects_.contains(target))
    return;
  Report(owner, field,
         absl::StrCat("no ", target.kind, " is named \"", target.name, "\""));
}

void ConfigurationBuilder::CheckBudgets() {
  for (const Budget& budget : config_->budgets_)
    CheckExists({"budget", budget.name}, "member", {"member", budget.member});
}

void ConfigurationBuilder::CheckRanks() {
  std::vector<Rank>& ranks = config_->ranks_;
  std::sort(ranks.begin(), ranks.end(), [](const Rank& a, const Rank& b) {
    return std::tie(a.order, a.name) < std::tie(b.order, b.name);
  });
  double floors = 0;
  for (size_t i = 0; i < ranks.size(); ++i) {
    floors += ranks[i].floor;
    if (i > 0 && ranks[i].order == ranks[i - 1].order) {
      Report(
          {"rank", ranks[i].name}, "order",
          absl::StrCat("rank \"", ranks[i - 1].name, "\" has the same order"));
    }
  }
  if (floors > 1 + kFloorTolerance) {
    Report({"rank", ranks.back().name}, "floor",
           absl::StrCat("the floors of all ranks add up to ", floors,
                        ", which is more than 1"));
  }
  if (ranks.size() > kMaxRanks) {
    Report({"rank", ranks.back().name}, "order",
           absl::StrCat("more than ", kMaxRanks, " ranks"));
  }
}

void ConfigurationBuilder::CheckCallers() {
  for (const Caller& caller : config_->callers_) {
    ObjectId id{"caller", caller.name};
    CheckExists(id, "member", {"member", caller.member});
    CheckExists(id, "budget", {"budget", caller.budget});
    CheckCallerBudget(caller);
    for (const std::string& rank : caller.ranks)
      CheckExists(id, "ranks", {"rank", rank});
    const FieldMap& fields = objects_.at(id).fields;
    auto given = fields.find("ranks");
    bool empty_list = given != fields.end() && given->second.value.is_array() &&
                      given->second.value.get_array().empty();
    if (empty_list)
      Report(id, "ranks", "must name at least one rank");
  }
}

void ConfigurationBuilder::CheckCallerBudget(const Caller& caller) {
  const Budget* budget = config_->FindBudget(caller.budget);
  if (budget == nullptr || budget->member.empty())
    return;
  if (!objects_.contains({"member", caller.member}))
    return;
  if (budget->member != caller.member) {
    Report({"caller", caller.name}, "budget",
           absl::StrCat("belongs to member \"", budget->member,
                        "\", the caller to \"", caller.member, "\""));
  }
}

void ConfigurationBuilder::CheckKeys() {
  std::vector<Caller>& callers = config_->callers_;
  for (size_t i = 0; i < callers.size(); ++i) {
    if (callers[i].key_sha256.empty())
      continue;
    auto [first, inserted] =
        config_->caller_by_key_sha256_.emplace(callers[i].key_sha256, i);
    if (!inserted) {
      Report({"caller", callers[i].name}, "key_sha256",
             absl::StrCat("caller \"", callers[first->second].name,
                          "\" has the same key"));
    }
  }
}

void ConfigurationBuilder::CheckServers() {
  for (const Server& server : config_->servers_) {
    ObjectId id{"server", server.name};
    CheckExists(id, "model", {"model", server.model});
    CheckExists(id, "service", {"service", server.service});
    const FieldMap& fields = objects_.at(id).fields;
    bool has_model = fields.contains("model");
    bool has_service = fields.contains("service");
    if (has_model && has_service)
      Report(id, "service", "must not be given together with \"model\"");
    if (!has_model && !has_service)
      Report(id, "model", "one of \"model\" and \"service\" must be given");
  }
}

void ConfigurationBuilder::CheckAddresses() {
  std::map<std::string, std::string> server_of_address;
  for (const Server& server : config_->servers_) {
    if (server.address.empty())
      continue;
    auto [first, inserted] =
        server_of_address.emplace(server.address, server.name);
    if (!inserted) {
      Report(
          {"server", server.name}, "address",
          absl::StrCat("server \"", first->second, "\" has the same address"));
    }
  }
}

}  // namespace hawthornhollow
