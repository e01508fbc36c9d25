#include "tier/published_version.h"

#include "absl/strings/str_cat.h"

namespace cherrydyke {

std::string SourceEra::ToString() const {
  return absl::StrCat(stated, ".", inferred);
}

std::string PublishedVersion::ToString() const {
  return absl::StrCat(era.ToString(), "/", revision);
}

}  // namespace cherrydyke
