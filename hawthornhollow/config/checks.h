#ifndef HAWTHORNHOLLOW_CONFIG_CHECKS_H_
#define HAWTHORNHOLLOW_CONFIG_CHECKS_H_

// Turns merged objects into a Configuration, checking every field and every
// reference between objects. Internal to the config library.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornhollow/config/config.h"
#include "hawthornhollow/config/merge.h"

namespace hawthornhollow {

// Most ranks of one configuration; ranks are looked up by scanning them.
inline constexpr size_t kMaxRanks = 16;

// Builds one Configuration. Use once.
class ConfigurationBuilder {
 public:
  // Keeps a reference to `errors`.
  ConfigurationBuilder(const ConfigFiles& files,
                       std::vector<ConfigError>* errors);

  // Null if any error was appended.
  std::shared_ptr<const Configuration> Build();

 private:
  // Field checks; each adds one object to the configuration.
  void AddMember(const std::string& name, FieldReader& reader);
  void AddBudget(const std::string& name, FieldReader& reader);
  void AddRank(const std::string& name, FieldReader& reader);
  void AddCaller(const std::string& name, FieldReader& reader);
  void AddModel(const std::string& name, FieldReader& reader);
  void AddService(const std::string& name, FieldReader& reader);
  void AddServer(const std::string& name, FieldReader& reader);
  void AddObject(const ObjectId& id, const MergedObject& object);

  // Checks between objects.
  void CheckBudgets();
  void CheckRanks();
  void CheckCallers();
  void CheckCallerBudget(const Caller& caller);
  void CheckKeys();
  void CheckServers();
  void CheckAddresses();

  // Reports `field` of `owner` unless an object of that kind and name exists.
  // An empty name was reported before.
  void CheckExists(const ObjectId& owner,
                   const std::string& field,
                   const ObjectId& target);
  void Report(const ObjectId& owner,
              const std::string& field,
              const std::string& reason);

  std::vector<ConfigError>* errors_;
  size_t errors_before_;
  MergedObjects objects_;
  std::shared_ptr<Configuration> config_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_CONFIG_CHECKS_H_
