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

/// Holds the configuration in force and replaces it by higher versions only. Thread-safe.
class ActiveConfig
{
public:
  using Listener = std::function<void(const Configuration&)>;

  /// Registers the configuration with aSync, which outlives this object.
  explicit ActiveConfig(ObjectSync& aSync);

  /// Adds a part that is told of each configuration taken in force. To be called before the instance starts.
  void Subscribe(Listener aListener) { listeners_.push_back(std::move(aListener)); }
  /// The configuration in force; null before the first one.
  std::shared_ptr<const Configuration> Current() const;
  /// True when a configuration is in force that is as new as that of the known peers.
  bool IsReady(LastReason& aReason) const;
  /// Versions whose parts could not be decoded and that are therefore not in force.
  uint64_t UndecodableVersions() const;

private:
  void Accept(const std::string& aText, const PartTexts& aParts);
  std::shared_ptr<const ServiceConfig> Decode(const std::string& aHash, const PartTexts& aParts) const;

  ObjectSync& sync_;
  std::vector<Listener> listeners_;

  mutable std::mutex mutex_;
  std::shared_ptr<const Configuration> current_;
  /// Decoded parts of the configuration in force by hash, so that unchanged ones are not decoded again.
  std::map<std::string, std::shared_ptr<const ServiceConfig>> parts_;
  uint64_t undecodable_ = 0;
};

} // namespace ibisrock

#endif
