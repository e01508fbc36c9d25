#include "base/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace cherrydyke {

void FailInvariant(const char* condition, const char* message, const char* file,
                   int line) {
  std::fprintf(stderr,
               "{\"level\":\"critical\",\"msg\":\"invariant violated: %s\","
               "\"condition\":\"%s\",\"at\":\"%s:%d\"}\n",
               message, condition, file, line);
  std::abort();
}

}  // namespace cherrydyke
