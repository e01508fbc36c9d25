#pragma once

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace cherrydyke {

/// A child process of a test. The destructor kills it with SIGKILL.
class Process {
 public:
  /// Starts a program of this build and waits for its first output on stdout,
  /// the ready line. After a failed start or a time-out, `ready()` is false.
  /// @param program file name in the build's `bin` folder, or in the folder
  /// that the environment variable CHERRYDYKE_BIN_DIR names; or a whole path
  /// @param config_file settings file, passed with `--config`
  /// @param log_file receives stderr, appended. With the environment variable
  /// CHERRYDYKE_KEEP_LOGS, stdout is appended to this file's name with ".out".
  /// @param environment entries `NAME=VALUE` beside this process's own
  /// @param options further arguments of the program
  Process(const std::string& program, const std::string& config_file,
          const std::string& log_file,
          std::vector<std::string> environment = {},
          std::vector<std::string> options = {});
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  void Freeze() const;
  void Resume() const;
  /// Sends SIGKILL and waits for the process to exit.
  void Kill();
  /// Sends SIGTERM and waits up to `limit` for the process to exit.
  /// @return the exit code, or nothing if it was terminated by a signal or did
  /// not exit in time.
  std::optional<int> Stop(absl::Duration limit = absl::Seconds(20));
  bool IsRunning();
  pid_t pid() const { return pid_; }
  /// @return whether the program wrote its ready line in time.
  bool ready() const { return ready_; }

 private:
  void WaitUntilReady(int fd);
  void WaitUntilLonger(const std::string& file, uintmax_t size);

  pid_t pid_ = -1;
  int status_ = 0;
  bool exited_ = false;
  bool ready_ = false;
};

}  // namespace cherrydyke
