#include <openssl/rand.h>

#include <array>
#include <cstdio>

#include "absl/strings/escaping.h"
#include "boost/json/object.hpp"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/cli/cli.h"
#include "hawthornhollow/cli/commands.h"
#include "hawthornhollow/cli/options.h"
#include "hawthornhollow/cli/output.h"

namespace hawthornhollow {
namespace {

constexpr char kName[] = "key";
constexpr size_t kKeyBytes = 32;

}  // namespace

int RunKeyCommand(const Arguments& arguments) {
  bool json = false;
  OptionParser options(
      {.name = kName,
       .description =
           "Generates a caller's bearer key. Give the key to the caller and "
           "put the hash\ninto the caller's file; the key itself is kept "
           "nowhere.\n",
       .example = "  $ hawthornhollow key\n"
                  "  key         m3Jr...\n"
                  "  key_sha256  9f86...\n"});
  options.AddFlag("json", "print JSON", &json);
  if (std::optional<int> exit = options.Parse(arguments))
    return *exit;
  std::array<unsigned char, kKeyBytes> bytes;
  if (RAND_bytes(bytes.data(), bytes.size()) != 1) {
    PrintError(kName, "no randomness is available");
    return kExitRefused;
  }
  std::string key = absl::WebSafeBase64Escape(absl::string_view(
      reinterpret_cast<const char*>(bytes.data()), bytes.size()));
  std::string hash = Sha256Hex(key);
  if (json)
    PrintJson(boost::json::object{{"key", key}, {"key_sha256", hash}});
  else
    std::printf("key         %s\nkey_sha256  %s\n", key.c_str(), hash.c_str());
  return kExitOk;
}

}  // namespace hawthornhollow
