#include "tier/machine_resources.h"

#include <sys/resource.h>
#include <sys/sysinfo.h>

#include <algorithm>

#include "telemetry/log.h"

namespace cherrydyke {
namespace {

// Parts of the memory and of the descriptors for connections of callers and of
// other hosts.
constexpr size_t kCallerMemoryDivisor = 4;
constexpr size_t kCallerDescriptorDivisor = 2;
constexpr size_t kPeerMemoryDivisor = 8;
constexpr size_t kPeerDescriptorDivisor = 8;
/// Twice what an idle connection counts for, so that those leave half of the
/// memory to requests and responses.
constexpr size_t kBytesPerConnection = 16U << 10U;

engine::ConnectionLimits PartOf(const MachineResources& resources,
                                size_t memory_divisor,
                                size_t descriptor_divisor) {
  const size_t max_bytes = resources.memory_bytes / memory_divisor;
  return {max_bytes, std::min(resources.descriptors / descriptor_divisor,
                              max_bytes / kBytesPerConnection)};
}

/// @return a limit of the process; SIZE_MAX if there is none.
size_t ProcessLimit(decltype(RLIMIT_NOFILE) resource) {
  rlimit limit{};
  if (getrlimit(resource, &limit) != 0) {
    LogWarning("limit of the process not known",
               {{"resource", static_cast<int>(resource)}});
    return SIZE_MAX;
  }
  return limit.rlim_cur == RLIM_INFINITY ? SIZE_MAX : limit.rlim_cur;
}

}  // namespace

MachineResources ReportedResources() {
  MachineResources resources;
  resources.descriptors = ProcessLimit(RLIMIT_NOFILE);
  resources.memory_bytes = ProcessLimit(RLIMIT_AS);
  struct sysinfo info = {};
  if (sysinfo(&info) != 0) {
    LogWarning("memory of the machine not known", {});
    return resources;
  }
  resources.memory_bytes =
      std::min(resources.memory_bytes, info.totalram * info.mem_unit);
  return resources;
}

MachineResources LowerOf(const MachineResources& a, const MachineResources& b) {
  return {std::min(a.memory_bytes, b.memory_bytes),
          std::min(a.descriptors, b.descriptors)};
}

engine::ConnectionLimits CallerLimits(const MachineResources& resources) {
  return PartOf(resources, kCallerMemoryDivisor, kCallerDescriptorDivisor);
}

engine::ConnectionLimits PeerLimits(const MachineResources& resources) {
  return PartOf(resources, kPeerMemoryDivisor, kPeerDescriptorDivisor);
}

}  // namespace cherrydyke
