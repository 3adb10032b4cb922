#ifndef IBISROCK_PROCESS_ACTIVE_CONFIG_H
#define IBISROCK_PROCESS_ACTIVE_CONFIG_H

#include "process/object_sync.h"
#include "version/configuration.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace ibisrock {

/// Holds the active configuration and replaces it only by higher versions. Thread-safe.
class ActiveConfig
{
public:
  using Listener = std::function<void(const Configuration&)>;

  /// Registers the configuration with aSync, which outlives this object.
  explicit ActiveConfig(ObjectSync& aSync);

  /// Adds a listener that is called with each configuration that becomes active. Must be called before the instance
  /// starts.
  void Subscribe(Listener aListener) { listeners_.push_back(std::move(aListener)); }
  /// The active configuration; null before the first one.
  std::shared_ptr<const Configuration> Current() const;
  /// True once a configuration is active and ObjectSync has compared its version with known peers.
  bool IsReady(LastReason& aReason) const;
  /// Number of versions that were not activated because a part could not be decoded.
  uint64_t UndecodableVersions() const;

private:
  void Apply(const std::string& aText, const PartTexts& aParts);
  std::shared_ptr<const ServiceConfig> Decode(const std::string& aHash, const PartTexts& aParts) const;

  ObjectSync& sync_;
  std::vector<Listener> listeners_;

  mutable std::mutex mutex_;
  std::shared_ptr<const Configuration> current_;
  /// Decoded parts of the active configuration by hash, so that unchanged parts are not decoded again.
  std::map<std::string, std::shared_ptr<const ServiceConfig>> parts_;
  uint64_t undecodable_ = 0;
};

} // namespace ibisrock

#endif
