#include "version/apply.h"

#include "base/hashing.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace ibisrock {

namespace {

/// Exponential backoff between retries: the delay doubles from the initial to the maximum value, about 20 s in total.
constexpr Micros kInitialRetryDelay = Millis(100);
constexpr Micros kMaxRetryDelay = Seconds(4);
constexpr unsigned kMaxRetries = 9;

/// One apply operation: reads the head, writes the missing parts, updates the head. When a step fails or its outcome is
/// unknown, the operation restarts at the read of the head, so that every retry sees concurrent updates.
class ApplyOperation : public std::enable_shared_from_this<ApplyOperation>
{
public:
  ApplyOperation(ObjectStore& aStore,
                 TimerService& aTimers,
                 const Sheet& aSheet,
                 const ApplyOptions& aOptions,
                 std::function<void(ApplyResult)> aCallback);

  void ReadHead();

private:
  void OnHead(const StoreResult& aResult);
  bool ResolveByHistory(const Manifest& aHead);
  void CheckBase(const Manifest& aHead);
  void PrepareNextHead(const Manifest& aHead);
  void WriteParts();
  void WriteHead(const std::string& aText);
  void ConfirmUnchanged(const Manifest& aHead);
  void OnHeadWritten(const StoreResult& aResult);
  void Retry(const char* aReason);
  void FinishWithConflict(const Manifest& aHead);
  void Finish(ApplyOutcome aOutcome, ConfigVersion aVersion, std::string aText);

  ObjectStore& store_;
  TimerService& timers_;
  const std::string applyId_;
  std::function<void(ApplyResult)> callback_;
  /// None until the first read when neither the options nor the sheet name a base.
  std::optional<ConfigVersion> base_;
  std::map<std::string, std::string> parts_;
  std::vector<std::string> missingParts_;
  Manifest nextHead_;
  StoreRevision headRevision_;
  /// True once the response to an update of the head was lost, so that the update may have taken effect.
  bool mayBeAccepted_ = false;
  unsigned retries_ = 0;
  Micros retryDelay_ = kInitialRetryDelay;
};

ApplyOperation::ApplyOperation(ObjectStore& aStore,
                               TimerService& aTimers,
                               const Sheet& aSheet,
                               const ApplyOptions& aOptions,
                               std::function<void(ApplyResult)> aCallback)
  : store_(aStore)
  , timers_(aTimers)
  , applyId_(aOptions.applyId_)
  , callback_(std::move(aCallback))
  , base_(aOptions.base_)
{
  if (!base_ && !aSheet.base_.IsNone()) {
    base_ = aSheet.base_;
  }
  for (const auto& [name, service] : aSheet.services_) {
    std::string text = EncodeService(service);
    std::string hash = ContentHash(text);
    nextHead_.partHashes_[name] = hash;
    parts_[std::move(hash)] = std::move(text);
  }
  nextHead_.sheetHash_ = SheetHash(nextHead_.partHashes_);
}

void
ApplyOperation::ReadHead()
{
  store_.Get(kConfigHeadKey, [self = shared_from_this()](const StoreResult& aResult) { self->OnHead(aResult); });
}

void
ApplyOperation::OnHead(const StoreResult& aResult)
{
  Manifest head;
  if (aResult.outcome_ == StoreOutcome::Ok) {
    LastReason reason;
    auto decoded = DecodeManifest(aResult.value_, reason);
    if (!decoded) {
      Finish(mayBeAccepted_ ? ApplyOutcome::Unknown : ApplyOutcome::Failed, {}, reason.Text());
      return;
    }
    head = std::move(*decoded);
  } else if (aResult.outcome_ != StoreOutcome::NotFound) {
    Retry("the object API is unavailable");
    return;
  }
  headRevision_ = aResult.revision_;
  if (ResolveByHistory(head)) {
    return;
  }
  if (head.sheetHash_ == nextHead_.sheetHash_) {
    ConfirmUnchanged(head);
    return;
  }
  CheckBase(head);
}

/// Finishes if the head's history shows that an earlier update of this operation took effect, even when later versions
/// were accepted, or if the history is too short to tell. Returns whether the operation is finished.
bool
ApplyOperation::ResolveByHistory(const Manifest& aHead)
{
  for (const ManifestEntry& entry : aHead.history_) {
    if (entry.applyId_ == applyId_) {
      Finish(ApplyOutcome::Accepted, entry.version_, "accepted");
      return true;
    }
  }
  const bool historyIsTooShort = !aHead.history_.empty() && aHead.history_.front().version_ > nextHead_.version_;
  if (mayBeAccepted_ && historyIsTooShort) {
    Finish(ApplyOutcome::Unknown, aHead.version_, "the history no longer contains the attempted version");
    return true;
  }
  return false;
}

void
ApplyOperation::CheckBase(const Manifest& aHead)
{
  if (!base_) {
    base_ = aHead.version_;
  }
  if (aHead.version_ < *base_) {
    // The read was stale, or the sheet names a version that does not exist yet.
    Retry("the base version was not found in the store");
    return;
  }
  if (aHead.version_ > *base_) {
    FinishWithConflict(aHead);
    return;
  }
  PrepareNextHead(aHead);
  WriteParts();
}

void
ApplyOperation::PrepareNextHead(const Manifest& aHead)
{
  nextHead_.version_ = aHead.version_.Next();
  nextHead_.history_ = aHead.history_;
  nextHead_.history_.push_back({ nextHead_.version_, nextHead_.sheetHash_, applyId_ });
  if (nextHead_.history_.size() > kManifestHistoryLength) {
    nextHead_.history_.erase(nextHead_.history_.begin());
  }
  missingParts_.clear();
  for (const auto& [service, hash] : nextHead_.partHashes_) {
    auto partInForce = aHead.partHashes_.find(service);
    if (partInForce == aHead.partHashes_.end() || partInForce->second != hash) {
      missingParts_.push_back(hash);
    }
  }
}

/// Writes the missing parts sequentially. A conflict means that the part already exists, because its key is the hash of
/// its content.
void
ApplyOperation::WriteParts()
{
  if (missingParts_.empty()) {
    WriteHead(EncodeManifest(nextHead_));
    return;
  }
  const std::string& hash = missingParts_.back();
  store_.Put(PartKey(hash), parts_.at(hash), StoreRevision(), [self = shared_from_this()](const StoreResult& aResult) {
    if (aResult.outcome_ == StoreOutcome::Ok || aResult.outcome_ == StoreOutcome::Conflict) {
      self->missingParts_.pop_back();
      self->WriteParts();
    } else {
      self->Retry("the object API did not confirm a part of the sheet");
    }
  });
}

void
ApplyOperation::WriteHead(const std::string& aText)
{
  store_.Put(kConfigHeadKey, aText, headRevision_, [self = shared_from_this()](const StoreResult& aResult) {
    self->OnHeadWritten(aResult);
  });
}

/// Writes the head back unchanged. Reads may be stale; only a successful conditional update proves that the sheet is
/// still in force.
void
ApplyOperation::ConfirmUnchanged(const Manifest& aHead)
{
  const ConfigVersion version = aHead.version_;
  store_.Put(kConfigHeadKey,
             EncodeManifest(aHead),
             headRevision_,
             [self = shared_from_this(), version](const StoreResult& aResult) {
               if (aResult.outcome_ == StoreOutcome::Ok) {
                 self->Finish(ApplyOutcome::Unchanged, version, "the sheet is equal to the version in force");
               } else {
                 self->Retry("the version in force could not be confirmed");
               }
             });
}

void
ApplyOperation::OnHeadWritten(const StoreResult& aResult)
{
  if (aResult.outcome_ == StoreOutcome::Ok) {
    Finish(ApplyOutcome::Accepted, nextHead_.version_, "accepted");
    return;
  }
  mayBeAccepted_ = mayBeAccepted_ || aResult.outcome_ == StoreOutcome::Unknown;
  Retry(aResult.outcome_ == StoreOutcome::Conflict ? "another sheet was accepted at the same time"
                                                   : "the object API did not confirm the new version");
}

/// Reads the head again after the retry delay, or finishes when the retries are exhausted.
void
ApplyOperation::Retry(const char* aReason)
{
  if (retries_ == kMaxRetries) {
    Finish(mayBeAccepted_ ? ApplyOutcome::Unknown : ApplyOutcome::Failed, {}, aReason);
    return;
  }
  retries_++;
  timers_.After(retryDelay_, [self = shared_from_this()] { self->ReadHead(); });
  retryDelay_ = std::min(2 * retryDelay_, kMaxRetryDelay);
}

/// Finishes with a conflict that names the services in which the sheet differs from the version in force.
void
ApplyOperation::FinishWithConflict(const Manifest& aHead)
{
  std::map<ServiceName, std::string> differing;
  const auto addDiffering = [&differing](const auto& aFrom, const auto& aOther) {
    for (const auto& [service, hash] : aFrom) {
      auto found = aOther.find(service);
      if (found == aOther.end() || found->second != hash) {
        differing[service] = hash;
      }
    }
  };
  addDiffering(aHead.partHashes_, nextHead_.partHashes_);
  addDiffering(nextHead_.partHashes_, aHead.partHashes_);
  ApplyResult result{ ApplyOutcome::Conflict, aHead.version_, {}, {} };
  std::string names;
  for (const auto& [service, hash] : differing) {
    result.differing_.push_back(service);
    names += (names.empty() ? "" : ", ") + service.Value();
  }
  result.text_ = "the sheet is based on version " + std::to_string(base_->Value()) + ", but version " +
                 std::to_string(aHead.version_.Value()) + " is in force; services that differ: " + names;
  callback_(std::move(result));
}

void
ApplyOperation::Finish(ApplyOutcome aOutcome, ConfigVersion aVersion, std::string aText)
{
  callback_({ aOutcome, aVersion, {}, std::move(aText) });
}

} // namespace

void
ApplySheet(ObjectStore& aStore,
           TimerService& aTimers,
           const Sheet& aSheet,
           const ApplyOptions& aOptions,
           std::function<void(ApplyResult)> aCallback)
{
  std::make_shared<ApplyOperation>(aStore, aTimers, aSheet, aOptions, std::move(aCallback))->ReadHead();
}

} // namespace ibisrock
