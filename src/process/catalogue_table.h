#ifndef IBISROCK_PROCESS_CATALOGUE_TABLE_H
#define IBISROCK_PROCESS_CATALOGUE_TABLE_H

#include "process/active_config.h"
#include "process/object_sync.h"
#include "version/index_catalogue.h"

#include <map>
#include <memory>
#include <mutex>

namespace ibisrock {

/// Holds the newest index catalogue of each service that has been part of an active configuration. Thread-safe.
class CatalogueTable
{
public:
  /// Subscribes to configuration changes. Both arguments must outlive this object.
  CatalogueTable(ObjectSync& aSync, ActiveConfig& aConfig);

  /// The service's catalogue; null when there is none.
  std::shared_ptr<const IndexCatalogue> Current(const ServiceName& aService) const;
  /// Shard maps of the service, newest index version first.
  CandidateShardMaps CandidateMaps(const ServiceConfig& aService) const;

private:
  void AddServices(const Configuration& aConfiguration);
  void Apply(const ServiceName& aService, const std::string& aText);

  ObjectSync& sync_;
  mutable std::mutex mutex_;
  std::map<ServiceName, std::shared_ptr<const IndexCatalogue>> catalogues_;
};

} // namespace ibisrock

#endif
