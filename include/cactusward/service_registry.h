// Registry through which the services of a daemon find each other by name.
#ifndef CACTUSWARD_SERVICE_REGISTRY_H_
#define CACTUSWARD_SERVICE_REGISTRY_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace cactusward {

// A component of a daemon with the lifetime of the process.
class service {
 public:
  virtual ~service() = default;
  virtual std::string_view service_name() const = 0;
  // Starts the service. Called after all services are registered.
  virtual void Start() {}
};

// Not thread-safe: register all services on one thread before lookups.
class service_registry {
 public:
  // Precondition: `service` outlives the registry and its name is not taken.
  // @return whether the name was free.
  bool Add(service* service) {
    return services_.emplace(service->service_name(), service).second;
  }

  // The service called `name`, or null if there is none or it is not a T.
  template <typename T>
  T* Find(std::string_view name) const {
    const auto it = services_.find(name);
    return it == services_.end() ? nullptr : dynamic_cast<T*>(it->second);
  }

  // Starts all services in the order of their names.
  void StartAll() {
    for (auto& [name, service] : services_)
      service->Start();
  }

 private:
  std::map<std::string, service*, std::less<>> services_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SERVICE_REGISTRY_H_
