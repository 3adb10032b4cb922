#ifndef IBISROCK_PROCESS_CONFIG_KEEPER_H
#define IBISROCK_PROCESS_CONFIG_KEEPER_H

#include "process/environment.h"
#include "version/configuration.h"
#include "version/manifest.h"

#include <functional>
#include <memory>
#include <mutex>

namespace ibisrock {

/// Holds the configuration in force and replaces it by higher versions only. Thread-safe.
class ConfigKeeper
{
public:
  explicit ConfigKeeper(Environment aEnvironment)
    : environment_(aEnvironment)
  {
  }

  /// Reads the configuration from the store and then watches for the next.
  void Start();
  /// The configuration in force; null before the first one.
  std::shared_ptr<const Configuration> Current() const;

private:
  struct Loading;

  void WatchHead(StoreRevision aAfter);
  void LoadParts(const Manifest& aManifest);
  void LoadPart(const std::shared_ptr<Loading>& aLoading);
  void TakeInForce(std::shared_ptr<const Configuration> aNext);

  Environment environment_;

  mutable std::mutex mutex_;
  std::shared_ptr<const Configuration> current_;
  std::map<std::string, std::shared_ptr<const ServiceConfig>> parts_;
};

} // namespace ibisrock

#endif
