#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cherrydyke {

/// Factories of one plug-in interface by name. Plug-ins add themselves from a
/// namespace-scope `Registration` in their own source file.
///
///     const Registration<ReplicaPicker, TwoChoicesPicker>
///     registration("pick_of_two"); auto picker =
///     Registry<ReplicaPicker>::Get().Create("pick_of_two");
template <typename Interface>
class Registry {
 public:
  using Factory = std::function<std::unique_ptr<Interface>()>;

  /// @return the one registry of this interface in the process.
  static Registry& Get() {
    static Registry registry;
    return registry;
  }

  void Add(const std::string& name, Factory factory) {
    factories_[name] = std::move(factory);
  }

  /// @return a new plug-in, or null if none has that name.
  std::unique_ptr<Interface> Create(const std::string& name) const {
    const auto found = factories_.find(name);
    return found == factories_.end() ? nullptr : found->second();
  }

  /// @return every registered name, sorted.
  std::vector<std::string> Names() const {
    std::vector<std::string> names;
    for (const auto& [name, factory] : factories_) names.push_back(name);
    return names;
  }

 private:
  std::map<std::string, Factory> factories_;
};

/// Registers `Implementation` under a name during static initialisation.
template <typename Interface, typename Implementation>
class Registration {
 public:
  explicit Registration(const std::string& name) {
    Registry<Interface>::Get().Add(
        name, [] { return std::make_unique<Implementation>(); });
  }
};

}  // namespace cherrydyke
