#include "process/config_keeper.h"

#include <utility>

namespace ibisrock {

namespace {

constexpr Micros kWatchTimeout = Seconds(30);
constexpr Micros kRetryDelay = Millis(500);

} // namespace

/// A manifest whose parts are being read.
struct ConfigKeeper::Loading
{
  Configuration configuration_;
  std::vector<std::pair<ServiceName, std::string>> missing_;
};

void
ConfigKeeper::Start()
{
  WatchHead(StoreRevision());
}

std::shared_ptr<const Configuration>
ConfigKeeper::Current() const
{
  std::lock_guard lock(mutex_);
  return current_;
}

void
ConfigKeeper::WatchHead(StoreRevision aAfter)
{
  environment_.store_.Watch(kConfigHeadKey, aAfter, kWatchTimeout, [this, aAfter](const StoreResult& aResult) {
    LastReason reason;
    if (aResult.outcome_ != StoreOutcome::Ok) {
      environment_.timers_.After(kRetryDelay, [this, aAfter] { WatchHead(aAfter); });
      return;
    }
    if (auto manifest = DecodeManifest(aResult.value_, reason)) {
      LoadParts(*manifest);
    }
    WatchHead(aResult.revision_);
  });
}

void
ConfigKeeper::LoadParts(const Manifest& aManifest)
{
  auto loading = std::make_shared<Loading>();
  loading->configuration_.version_ = aManifest.version_;
  loading->configuration_.hash_ = aManifest.sheetHash_;
  {
    std::lock_guard lock(mutex_);
    for (const auto& [service, hash] : aManifest.partHashes_) {
      auto known = parts_.find(hash);
      if (known != parts_.end()) {
        loading->configuration_.services_[service] = known->second;
      } else {
        loading->missing_.emplace_back(service, hash);
      }
    }
  }
  LoadPart(loading);
}

void
ConfigKeeper::LoadPart(const std::shared_ptr<Loading>& aLoading)
{
  if (aLoading->missing_.empty()) {
    TakeInForce(std::make_shared<const Configuration>(aLoading->configuration_));
    return;
  }
  const auto [service, hash] = aLoading->missing_.back();
  environment_.store_.Get(PartKey(hash), [this, aLoading, service = service, hash = hash](const StoreResult& aResult) {
    LastReason reason;
    auto decoded = aResult.outcome_ == StoreOutcome::Ok ? DecodeService(aResult.value_, reason) : std::nullopt;
    if (!decoded) {
      environment_.timers_.After(kRetryDelay, [this, aLoading] { LoadPart(aLoading); });
      return;
    }
    auto part = std::make_shared<const ServiceConfig>(std::move(*decoded));
    {
      std::lock_guard lock(mutex_);
      parts_[hash] = part;
    }
    aLoading->configuration_.services_[service] = std::move(part);
    aLoading->missing_.pop_back();
    LoadPart(aLoading);
  });
}

void
ConfigKeeper::TakeInForce(std::shared_ptr<const Configuration> aNext)
{
  std::lock_guard lock(mutex_);
  if (!current_ || current_->version_ < aNext->version_) {
    current_ = std::move(aNext);
  }
}

} // namespace ibisrock
