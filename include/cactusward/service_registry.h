// The micro-kernel: services find each other by name.
#ifndef CACTUSWARD_SERVICE_REGISTRY_H_
#define CACTUSWARD_SERVICE_REGISTRY_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace cactusward {

// A part of a daemon that others find by name.
class service {
 public:
  virtual ~service() = default;
  virtual std::string_view service_name() const = 0;
  // Begins work. Every service is registered by then.
  virtual void Start() {}
};

// Not thread-safe: register on one thread, before lookups.
class service_registry {
 public:
  // Precondition: `service` outlives the registry and its name is not taken.
  // @return whether the name was free.
  bool Add(service* service) {
    return services_.emplace(service->service_name(), service).second;
  }

  // The service called `name` if it is a T, else null.
  template <typename T>
  T* Find(std::string_view name) const {
    const auto it = services_.find(name);
    return it == services_.end() ? nullptr : dynamic_cast<T*>(it->second);
  }

  // Starts every service, by name.
  void StartAll() {
    for (auto& [name, service] : services_)
      service->Start();
  }

 private:
  std::map<std::string, service*, std::less<>> services_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SERVICE_REGISTRY_H_
