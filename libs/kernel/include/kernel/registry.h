#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cherrydyke {

/// Factories of the implementations of one plug-in interface, by name. Each
/// implementation is registered by a namespace-scope `Registration` in its own
/// source file.
///
///     const Registration<ReplicaPicker, TwoChoicesPicker> kTwoChoices(
///         "pick_of_two");
///     auto picker = Registry<ReplicaPicker>::Get().Create("pick_of_two");
template <typename Interface>
class Registry {
 public:
  using Factory = std::function<std::unique_ptr<Interface>()>;

  /// @return the registry of this interface; one per process.
  static Registry& Get() {
    static Registry registry;
    return registry;
  }

  void Add(const std::string& name, Factory factory) {
    factories_[name] = std::move(factory);
  }

  /// @return a new instance, or null if no implementation has that name.
  std::unique_ptr<Interface> Create(const std::string& name) const {
    const auto found = factories_.find(name);
    return found == factories_.end() ? nullptr : found->second();
  }

  /// @return all registered names, sorted.
  std::vector<std::string> Names() const {
    std::vector<std::string> names;
    for (const auto& [name, factory] : factories_) names.push_back(name);
    return names;
  }

 private:
  std::map<std::string, Factory> factories_;
};

/// Registers `Implementation` by name during static initialisation.
template <typename Interface, typename Implementation>
class Registration {
 public:
  explicit Registration(const std::string& name) {
    Registry<Interface>::Get().Add(
        name, [] { return std::make_unique<Implementation>(); });
  }
};

}  // namespace cherrydyke
