#include "support/process.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <system_error>
#include <utility>

#include "absl/time/clock.h"

namespace cherrydyke {
namespace {

constexpr int kReadyTimeoutMs = 20'000;
constexpr absl::Duration kPollInterval = absl::Milliseconds(10);

std::string ProgramFolder() {
  const char* const folder = std::getenv("CHERRYDYKE_BIN_DIR");
  return folder != nullptr ? folder : CHERRYDYKE_BIN_DIR;
}

uintmax_t SizeOf(const std::string& file) {
  std::error_code missing;
  const uintmax_t size = std::filesystem::file_size(file, missing);
  return missing ? 0 : size;
}

}  // namespace

Process::Process(const std::string& program, const std::string& config_file,
                 const std::string& log_file,
                 std::vector<std::string> environment,
                 std::vector<std::string> options) {
  const std::string path = std::filesystem::path(ProgramFolder()) / program;
  std::array<int, 2> output{};
  if (pipe2(output.data(), O_CLOEXEC) != 0) return;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  // A pipe that nobody reads after the ready line would lose the log of a
  // program that logs on stdout.
  const bool keeps_output = std::getenv("CHERRYDYKE_KEEP_LOGS") != nullptr;
  const std::string output_file = log_file + ".out";
  const uintmax_t earlier_output = SizeOf(output_file);
  if (keeps_output) {
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                     output_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  } else {
    posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
  }
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  // A socket that the program inherits outlives its end in the test.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::string config_flag = "--config";
  std::string path_argument = path;
  std::string config = config_file;
  std::vector<char*> arguments = {path_argument.data(), config_flag.data(),
                                  config.data()};
  for (std::string& option : options) arguments.push_back(option.data());
  arguments.push_back(nullptr);
  std::vector<char*> variables;
  for (std::string& entry : environment) variables.push_back(entry.data());
  for (char** entry = environ; *entry != nullptr; ++entry) {
    variables.push_back(*entry);
  }
  variables.push_back(nullptr);
  if (posix_spawn(&pid_, path.c_str(), &actions, nullptr, arguments.data(),
                  variables.data()) != 0) {
    pid_ = -1;
    exited_ = true;
  }
  posix_spawn_file_actions_destroy(&actions);
  close(output[1]);
  if (keeps_output) {
    WaitUntilLonger(output_file, earlier_output);
  } else {
    WaitUntilReady(output[0]);
  }
  close(output[0]);
}

void Process::WaitUntilReady(int fd) {
  pollfd descriptor{fd, POLLIN, 0};
  if (poll(&descriptor, 1, kReadyTimeoutMs) <= 0) return;
  std::array<char, 512> line{};
  ready_ = read(fd, line.data(), line.size()) > 0;
}

void Process::WaitUntilLonger(const std::string& file, uintmax_t size) {
  const absl::Time deadline = absl::Now() + absl::Milliseconds(kReadyTimeoutMs);
  while (IsRunning() && absl::Now() < deadline) {
    if ((ready_ = SizeOf(file) > size)) return;
    absl::SleepFor(kPollInterval);
  }
}

Process::~Process() { Kill(); }

void Process::Signal(int signal) const {
  if (!exited_) kill(pid_, signal);
}

void Process::Freeze() const { Signal(SIGSTOP); }
void Process::Resume() const { Signal(SIGCONT); }

void Process::Kill() {
  if (exited_) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, &status_, 0);
  exited_ = true;
}

bool Process::IsRunning() {
  if (exited_) return false;
  exited_ = waitpid(pid_, &status_, WNOHANG) == pid_;
  return !exited_;
}

std::optional<int> Process::Stop(absl::Duration limit) {
  Signal(SIGTERM);
  const absl::Time deadline = absl::Now() + limit;
  while (IsRunning() && absl::Now() < deadline) absl::SleepFor(kPollInterval);
  if (!exited_ || !WIFEXITED(status_)) return std::nullopt;
  return WEXITSTATUS(status_);
}

}  // namespace cherrydyke
