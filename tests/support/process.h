#pragma once

#include <sys/types.h>

#include <optional>
#include <string>

#include "absl/time/time.h"

namespace cherrydyke {

/// A child process of a test; killed by its id when the object goes.
class Process {
 public:
  /// Starts a program of this build with `--config`, and waits for its ready
  /// line. Its log goes to `log_file`.
  Process(const std::string& program, const std::string& config_file,
          const std::string& log_file);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  void Freeze() const;
  void Resume() const;
  /// Kills it at once and collects it.
  void Kill();
  /// Asks for a graceful stop. @return the exit code, or nothing if it was
  /// killed or did not end in time.
  std::optional<int> Stop(absl::Duration limit = absl::Seconds(20));
  /// @return whether it still runs.
  bool IsRunning();
  pid_t pid() const { return pid_; }
  /// @return whether the ready line came.
  bool ready() const { return ready_; }

 private:
  void WaitUntilReady(int fd);

  pid_t pid_ = -1;
  int status_ = 0;
  bool exited_ = false;
  bool ready_ = false;
};

}  // namespace cherrydyke
