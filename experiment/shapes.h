#ifndef IBISROCK_EXPERIMENT_SHAPES_H
#define IBISROCK_EXPERIMENT_SHAPES_H

#include "fakes/fake_cluster.h"

#include <span>
#include <string>

namespace ibisrock::experiment {

/// One service of the users' two deployments.
struct NamedShape
{
  const char* name_;
  fakes::ClusterShape shape_;
};

/// All known shapes, for example "pk-north/dockdesk".
std::span<const NamedShape>
AllShapes();

/// Returns nullptr for an unknown name.
const NamedShape*
FindShape(const std::string& aName);

/// Whole queries a second that the shape's slots can carry when every shard is served once per query.
double
CapacityOf(const fakes::ClusterShape& aShape, Micros aServiceTime);

} // namespace ibisrock::experiment

#endif
