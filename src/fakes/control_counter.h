#ifndef IBISROCK_FAKES_CONTROL_COUNTER_H
#define IBISROCK_FAKES_CONTROL_COUNTER_H

#include "wire/messages.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace ibisrock::fakes {

/// Number and bytes of one kind of message or update.
struct KindCount
{
  uint64_t count_ = 0;
  uint64_t bytes_ = 0;
};

/// Counts what the messages of a fleet consist of, and the suspicions and deaths that they report. Not thread-safe.
class ControlCounter
{
public:
  static constexpr size_t kMessageKinds = std::variant_size_v<wire::Body>;
  static constexpr size_t kMemberStates = 4;
  /// The four member states, then the other kinds of update.
  static constexpr size_t kUpdateKinds = kMemberStates + std::variant_size_v<wire::Update> - 1;

  void OnMessage(std::string_view aBytes);
  /// Forgets all counts, but not the incarnations that were seen.
  void Reset();

  const KindCount& Message(size_t aKind) const { return messages_.at(aKind); }
  const KindCount& Update(size_t aKind) const { return updates_.at(aKind); }
  /// Incarnations that were suspected.
  size_t Suspicions() const { return suspected_.size(); }
  /// Incarnations that replaced an earlier one of the same instance.
  uint64_t Refutations() const { return refutations_; }
  /// Incarnations that were declared dead.
  size_t Deaths() const { return dead_.size(); }

  static const char* MessageName(size_t aKind);
  static const char* UpdateName(size_t aKind);

private:
  using Life = std::pair<InstanceId, Incarnation>;

  void OnMember(const wire::MemberUpdate& aMember);
  void OnUpdates(const std::vector<wire::Update>& aUpdates);

  std::array<KindCount, kMessageKinds> messages_{};
  std::array<KindCount, kUpdateKinds> updates_{};
  std::map<InstanceId, Incarnation> newest_;
  std::set<Life> suspected_;
  std::set<Life> dead_;
  uint64_t refutations_ = 0;
};

} // namespace ibisrock::fakes

#endif
