#include "hawthornhollow/router/gate_controller.h"

#include <set>
#include <utility>

namespace hawthornhollow {

GateController::GateController(FiberGroup& fibers,
                               fb::HelloT self,
                               GateLinkEvents events)
    : fibers_(fibers),
      self_(std::move(self)),
      events_(std::move(events)),
      ended_gates_(std::make_shared<const EndedGates>()) {}

void GateController::SetServers(const std::vector<Server>& servers) {
  std::lock_guard lock(mutex_);
  std::map<std::string, std::shared_ptr<GateLink>> wanted;
  for (const Server& server : servers) {
    auto endpoint = Endpoint::Parse(server.address);
    if (!endpoint.ok())
      continue;  // Configuration::Merge rejects invalid addresses
    auto found = links_.find(server.name);
    if (found != links_.end() && found->second->endpoint() == *endpoint)
      wanted[server.name] = found->second;
    else
      wanted[server.name] = OpenLink(server, *endpoint);
  }
  for (const auto& [name, link] : links_) {
    auto kept = wanted.find(name);
    if (kept == wanted.end() || kept->second != link)
      retired_.push_back(link);
  }
  links_ = std::move(wanted);
}

std::shared_ptr<GateLink> GateController::OpenLink(const Server& server,
                                                   const Endpoint& endpoint) {
  auto link = std::make_shared<GateLink>(server.name, endpoint, self_,
                                         GateLinkOptions(), events_);
  link->SetEndedGates(ended_gates_);
  fibers_.Spawn([this, link] { link->Run(fibers_.stop()); });
  return link;
}

void GateController::SetEndedGates(EndedGates ended) {
  std::vector<std::shared_ptr<GateLink>> all;
  std::shared_ptr<const EndedGates> shared;
  {
    std::lock_guard lock(mutex_);
    if (ended == *ended_gates_)
      return;
    shared = std::make_shared<const EndedGates>(std::move(ended));
    ended_gates_ = shared;
    for (const auto& [name, link] : links_)
      all.push_back(link);
    all.insert(all.end(), retired_.begin(), retired_.end());
  }
  for (const auto& link : all)
    link->SetEndedGates(shared);
}

void GateController::CloseIdleRetiredLinks() {
  std::vector<std::shared_ptr<GateLink>> idle;
  {
    std::lock_guard lock(mutex_);
    std::vector<std::shared_ptr<GateLink>> busy;
    for (const auto& link : retired_) {
      std::string incarnation = link->gate_incarnation();
      bool has_calls =
          !incarnation.empty() && link->HasCallsThrough(incarnation);
      (has_calls ? busy : idle).push_back(link);
    }
    retired_ = std::move(busy);
  }
  for (const auto& link : idle)
    link->Stop();
}

void GateController::Stop() {
  std::vector<std::shared_ptr<GateLink>> all;
  {
    std::lock_guard lock(mutex_);
    for (const auto& [name, link] : links_)
      all.push_back(link);
    all.insert(all.end(), retired_.begin(), retired_.end());
  }
  for (const auto& link : all)
    link->Stop();
}

std::shared_ptr<GateLink> GateController::Find(
    const std::string& server) const {
  std::lock_guard lock(mutex_);
  auto found = links_.find(server);
  return found == links_.end() ? nullptr : found->second;
}

bool GateController::HasCallsThrough(
    const std::string& gate_incarnation) const {
  std::lock_guard lock(mutex_);
  for (const auto& [name, link] : links_) {
    if (link->HasCallsThrough(gate_incarnation))
      return true;
  }
  for (const auto& link : retired_) {
    if (link->HasCallsThrough(gate_incarnation))
      return true;
  }
  return false;
}

void GateController::SendSettled(const std::string& server,
                                 const std::string& request) {
  if (auto link = Find(server))
    link->SendSettled(request);
}

}  // namespace hawthornhollow
