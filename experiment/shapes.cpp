#include "experiment/shapes.h"

#include <array>

namespace ibisrock::experiment {

namespace {

constexpr unsigned kInstances = 7;
constexpr unsigned kDataCentres = 4;

NamedShape
MakeShape(const char* aName,
          const char* aPriority,
          unsigned aShards,
          unsigned aReplicas,
          unsigned aSlots,
          unsigned aConnections)
{
  fakes::ClusterShape shape;
  shape.instances_ = kInstances;
  shape.dataCentres_ = kDataCentres;
  shape.shards_ = aShards;
  shape.replicas_ = aReplicas;
  shape.slots_ = aSlots;
  shape.connections_ = aConnections;
  shape.priority_ = aPriority;
  return { aName, shape };
}

/// The sizes that the users gave. A service without shards of its own is one shard.
const std::array<NamedShape, 8>&
Shapes()
{
  static const std::array<NamedShape, 8> kShapes = {
    MakeShape("pk-north/dockdesk", "latency", 20, 2, 2, 25),
    MakeShape("pk-north/outfitter-portal", "latency", 30, 2, 2, 25),
    MakeShape("pk-north/guide-app", "latency", 1, 4, 4, 100),
    MakeShape("pk-north/signing-kiosk", "latency", 1, 4, 4, 100),
    MakeShape("kempen/knoopzoeker", "coverage", 20, 2, 2, 25),
    MakeShape("kempen/snijplanning", "coverage", 30, 2, 2, 25),
    MakeShape("kempen/bestelbalie", "coverage", 1, 7, 4, 40),
    MakeShape("kempen/hoornvoorraad", "coverage", 1, 4, 4, 40),
  };
  return kShapes;
}

} // namespace

std::span<const NamedShape>
AllShapes()
{
  return Shapes();
}

const NamedShape*
FindShape(const std::string& aName)
{
  for (const NamedShape& shape : Shapes()) {
    if (aName == shape.name_) {
      return &shape;
    }
  }
  return nullptr;
}

double
CapacityOf(const fakes::ClusterShape& aShape, Micros aServiceTime)
{
  const double slots = static_cast<double>(aShape.replicas_) * aShape.slots_;
  return slots / std::chrono::duration<double>(aServiceTime).count();
}

} // namespace ibisrock::experiment
