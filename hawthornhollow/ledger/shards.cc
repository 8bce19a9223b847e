// The assignment of budgets to shards.

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/ledger/ledger.h"

namespace hawthornhollow {

size_t ShardOfBudget(std::string_view budget, size_t shards) {
  if (shards <= 1)
    return 0;
  return StableHash(budget) % shards;
}

}  // namespace hawthornhollow
