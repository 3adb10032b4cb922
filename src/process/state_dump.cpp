#include "process/instance.h"

#include <nlohmann/json.hpp>

namespace ibisrock {

namespace {

using nlohmann::json;

const char*
StateText(MemberState aState)
{
  switch (aState) {
    case MemberState::Alive:
      return "alive";
    case MemberState::Suspect:
      return "suspect";
    case MemberState::Leaving:
      return "leaving";
    case MemberState::Dead:
      return "dead";
  }
  return "unknown";
}

json
DescribeMember(const wire::MemberUpdate& aMember)
{
  return { { "id", aMember.id_.Value() },
           { "address", aMember.address_.Value() },
           { "data_centre", aMember.dataCentre_.Value() },
           { "incarnation", aMember.incarnation_.Value() },
           { "state", StateText(aMember.state_) } };
}

/// Describes all known instances, starting with this one.
json
DescribeMembers(const Membership& aMembership)
{
  json members = json::array({ DescribeMember(aMembership.Self()) });
  for (const Member& member : aMembership.KnownMembers()) {
    members.push_back(
      DescribeMember({ member.id_, member.address_, member.dataCentre_, member.incarnation_, member.state_ }));
  }
  return members;
}

/// Describes the replicas that this instance owns or has attempts on, with the numbers of waiting and running attempts.
json
DescribeReplicas(const InstanceId& aSelf,
                 const MemberView& aView,
                 const Configuration* aConfiguration,
                 const DispatcherTable& aDispatchers)
{
  std::map<TargetName, DispatcherLoad> loads = aDispatchers.Loads();
  json replicas = json::object();
  const auto add = [&](const TargetName& aTarget, bool aIsOwned) {
    const DispatcherLoad& load = loads[aTarget];
    replicas[aTarget.Value()] = { { "owned", aIsOwned }, { "waiting", load.waiting_ }, { "running", load.running_ } };
  };
  for (const auto& [target, load] : loads) {
    if (load.waiting_ + load.running_ > 0) {
      add(target, false);
    }
  }
  if (aConfiguration == nullptr) {
    return replicas;
  }
  for (const auto& [name, service] : aConfiguration->services_) {
    for (const auto& [target, config] : service->targets_) {
      const Member* owner = FindOwner(aView, target, config.dataCentre_);
      if (owner != nullptr && owner->id_ == aSelf) {
        add(target, true);
      }
    }
  }
  return replicas;
}

json
DescribeCatalogues(const CatalogueTable& aCatalogues, const Configuration* aConfiguration)
{
  json versions = json::object();
  if (aConfiguration != nullptr) {
    for (const auto& [name, service] : aConfiguration->services_) {
      const auto catalogue = aCatalogues.Current(name);
      versions[name.Value()] = catalogue ? catalogue->version_ : 0;
    }
  }
  return versions;
}

/// Describes the counters and the admission state of each service that has been queried through this instance.
json
DescribeServices(const ServiceTable& aServices, const AdmissionController& aAdmission)
{
  json services = json::object();
  for (const auto& [name, counters] : aServices.Counters()) {
    services[name.Value()]["admission"] = { { "in_flight", aAdmission.InFlight(name) },
                                            { "limit", aAdmission.ConcurrencyLimitOf(name) },
                                            { "overloaded", aAdmission.IsOverloaded(name) } };
    for (const RunCounterField& field : kRunCounterFields) {
      services[name.Value()][field.name_] = (counters->*field.value_).load();
    }
  }
  return services;
}

/// Lists the addresses of the peers that do not answer this instance.
json
DescribeSilentPeers(const AttemptRouter& aRouter)
{
  json peers = json::array();
  for (const PeerAddress& peer : aRouter.SilentPeers()) {
    peers.push_back(peer.Value());
  }
  return peers;
}

} // namespace

std::string
Instance::DumpState() const
{
  LastReason reason;
  const bool ready = IsReady(reason);
  const auto configuration = config_.Current();
  const SyncCounters refused = sync_.Counters();
  return json{
    { "instance", self_.id_.Value() },
    { "data_centre", self_.dataCentre_.Value() },
    { "ready", ready },
    { "not_ready_reason", reason.Text() },
    { "leaving", IsLeaving() },
    { "queries_in_flight", coordinator_.InFlight() },
    { "config",
      { { "version", configuration ? configuration->version_.Value() : 0 },
        { "hash", configuration ? configuration->hash_ : "" },
        { "parts", sync_.PartCount() } } },
    { "refused",
      { { "lower_version", refused.staleVersions_ },
        { "other_content", refused.conflictingContents_ },
        { "malformed", refused.malformed_ },
        { "undecodable", config_.UndecodableVersions() } } },
    { "catalogue_versions", DescribeCatalogues(catalogues_, configuration.get()) },
    { "members", DescribeMembers(membership_) },
    { "replicas", DescribeReplicas(self_.id_, *membership_.View(), configuration.get(), dispatchers_) },
    { "crash_guard_entries", crashGuard_.Size() },
    { "silent_peers", DescribeSilentPeers(router_) },
    { "services", DescribeServices(services_, coordinator_.AdmissionControl()) }
  }.dump(2, ' ', false, json::error_handler_t::replace);
}

} // namespace ibisrock
