#ifndef HAWTHORNHOLLOW_CONFIG_MERGE_H_
#define HAWTHORNHOLLOW_CONFIG_MERGE_H_

// Parses a folder's files and merges their objects. Internal to the config
// library.

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "hawthornhollow/config/config.h"
#include "hawthornhollow/config/fields.h"

namespace hawthornhollow {

// Identifies an object of the folder.
struct ObjectId {
  std::string kind;
  std::string name;

  // "budget[permits]", as errors name it.
  std::string ToString() const { return kind + "[" + name + "]"; }
  friend bool operator==(const ObjectId&, const ObjectId&) = default;
  friend bool operator<(const ObjectId& a, const ObjectId& b) {
    return std::tie(a.kind, a.name) < std::tie(b.kind, b.name);
  }
};

// An object with the fields of every file that gives it.
struct MergedObject {
  std::string file;  // the first that gives it
  FieldMap fields;   // without "kind" and "name"
};
using MergedObjects = std::map<ObjectId, MergedObject>;

// Merges `files` in the order of their names. Appends an error for each text
// that is not an object or array of objects with a known kind and a valid name,
// and goes on with the rest.
MergedObjects MergeFiles(const ConfigFiles& files,
                         std::vector<ConfigError>* errors);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_CONFIG_MERGE_H_
