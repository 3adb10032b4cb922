#include "process/catalogue_table.h"

#include "base/hashing.h"

#include <utility>

namespace ibisrock {

namespace {

std::optional<ObjectContent>
ParseCatalogue(const std::string& aText, LastReason& aReason)
{
  const auto catalogue = DecodeCatalogue(aText, aReason);
  if (!catalogue) {
    return std::nullopt;
  }
  return ObjectContent{ catalogue->version_, ContentHash(aText), {} };
}

} // namespace

CatalogueTable::CatalogueTable(ObjectSync& aSync, ActiveConfig& aConfig)
  : sync_(aSync)
{
  aConfig.Subscribe([this](const Configuration& aConfiguration) { AddServices(aConfiguration); });
}

std::shared_ptr<const IndexCatalogue>
CatalogueTable::Current(const ServiceName& aService) const
{
  std::lock_guard lock(mutex_);
  auto found = catalogues_.find(aService);
  return found == catalogues_.end() ? nullptr : found->second;
}

CandidateShardMaps
CatalogueTable::CandidateMaps(const ServiceConfig& aService) const
{
  return FindCandidateShardMaps(aService, Current(aService.name_).get());
}

/// Registers the catalogues of all services of the configuration. A service that is removed from the sheet remains
/// registered, so that its catalogue cannot revert to a lower version when the service is added again.
void
CatalogueTable::AddServices(const Configuration& aConfiguration)
{
  for (const auto& [service, part] : aConfiguration.services_) {
    sync_.Add(
      CatalogueKey(service),
      { &ParseCatalogue, [this, name = service](const std::string& aText, const PartTexts&) { Apply(name, aText); } });
  }
}

void
CatalogueTable::Apply(const ServiceName& aService, const std::string& aText)
{
  LastReason reason;
  auto decoded = DecodeCatalogue(aText, reason);
  std::lock_guard lock(mutex_);
  auto& current = catalogues_[aService];
  if (decoded && (!current || current->version_ < decoded->version_)) {
    current = std::make_shared<const IndexCatalogue>(std::move(*decoded));
  }
}

} // namespace ibisrock
