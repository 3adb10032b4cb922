#include "version/apply.h"

#include "base/hashing.h"

#include <memory>
#include <utility>
#include <vector>

namespace ibisrock {

namespace {

/// The steps of one apply: read the head, write the parts, update the head.
class ApplyRun : public std::enable_shared_from_this<ApplyRun>
{
public:
  ApplyRun(ObjectStore& aStore, const Sheet& aSheet, std::string aApplyId, std::function<void(ApplyResult)> aCallback)
    : store_(aStore)
    , base_(aSheet.base_)
    , applyId_(std::move(aApplyId))
    , callback_(std::move(aCallback))
  {
    for (const auto& [name, service] : aSheet.services_) {
      std::string text = EncodeService(service);
      next_.partHashes_[name] = ContentHash(text);
      parts_.push_back(std::move(text));
    }
    next_.sheetHash_ = SheetHash(next_.partHashes_);
  }

  void ReadHead()
  {
    store_.Get(kConfigHeadKey, [self = shared_from_this()](const StoreResult& aResult) { self->OnHead(aResult); });
  }

private:
  void OnHead(const StoreResult& aResult);
  void WriteParts();
  void WriteHead();
  void OnHeadWritten(const StoreResult& aResult);
  void Finish(ApplyOutcome aOutcome, std::string aText) { callback_({ aOutcome, next_.version_, std::move(aText) }); }

  ObjectStore& store_;
  const ConfigVersion base_;
  const std::string applyId_;
  std::function<void(ApplyResult)> callback_;
  std::vector<std::string> parts_;
  Manifest next_;
  StoreRevision headRevision_;
};

void
ApplyRun::OnHead(const StoreResult& aResult)
{
  Manifest head;
  if (aResult.outcome_ == StoreOutcome::Ok) {
    LastReason reason;
    auto decoded = DecodeManifest(aResult.value_, reason);
    if (!decoded) {
      Finish(ApplyOutcome::Failed, reason.Text());
      return;
    }
    head = std::move(*decoded);
  } else if (aResult.outcome_ != StoreOutcome::NotFound) {
    Finish(ApplyOutcome::Failed, "the object API is unavailable");
    return;
  }
  if (head.sheetHash_ == next_.sheetHash_) {
    next_.version_ = head.version_;
    Finish(ApplyOutcome::Unchanged, "the sheet is equal to the version in force");
    return;
  }
  if (!base_.IsNone() && base_ != head.version_) {
    Finish(ApplyOutcome::Conflict, "version " + std::to_string(head.version_.Value()) + " was accepted meanwhile");
    return;
  }
  headRevision_ = aResult.revision_;
  next_.version_ = head.version_.Next();
  next_.history_ = std::move(head.history_);
  next_.history_.push_back({ next_.version_, next_.sheetHash_, applyId_ });
  if (next_.history_.size() > kManifestHistoryLength) {
    next_.history_.erase(next_.history_.begin());
  }
  WriteParts();
}

void
ApplyRun::WriteParts()
{
  if (parts_.empty()) {
    WriteHead();
    return;
  }
  const std::string text = std::move(parts_.back());
  parts_.pop_back();
  store_.Put(
    PartKey(ContentHash(text)), text, StoreRevision(), [self = shared_from_this()](const StoreResult& aResult) {
      if (aResult.outcome_ == StoreOutcome::Ok || aResult.outcome_ == StoreOutcome::Conflict) {
        self->WriteParts();
      } else {
        self->Finish(ApplyOutcome::Failed, "the object API did not take a part of the sheet");
      }
    });
}

void
ApplyRun::WriteHead()
{
  store_.Put(kConfigHeadKey,
             EncodeManifest(next_),
             headRevision_,
             [self = shared_from_this()](const StoreResult& aResult) { self->OnHeadWritten(aResult); });
}

void
ApplyRun::OnHeadWritten(const StoreResult& aResult)
{
  switch (aResult.outcome_) {
    case StoreOutcome::Ok:
      Finish(ApplyOutcome::Accepted, "accepted");
      return;
    case StoreOutcome::Conflict:
      Finish(ApplyOutcome::Conflict, "another sheet was accepted at the same time");
      return;
    case StoreOutcome::Unknown:
      Finish(ApplyOutcome::Unknown, "the object API's answer was lost");
      return;
    default:
      Finish(ApplyOutcome::Failed, "the object API is unavailable");
  }
}

} // namespace

void
ApplySheet(ObjectStore& aStore,
           const Sheet& aSheet,
           const std::string& aApplyId,
           std::function<void(ApplyResult)> aCallback)
{
  std::make_shared<ApplyRun>(aStore, aSheet, aApplyId, std::move(aCallback))->ReadHead();
}

} // namespace ibisrock
