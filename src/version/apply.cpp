#include "version/apply.h"

#include "base/hashing.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace ibisrock {

namespace {

/// Pauses between repeated store calls double from the first to the longest: about 20 s in sum.
constexpr Micros kFirstPause = Millis(100);
constexpr Micros kLongestPause = Seconds(4);
constexpr unsigned kMaxRepeats = 9;

/// The steps of one apply: read the head, write the missing parts, update the head. Each step is repeated from the
/// read of the head when the store's answer does not settle it, so a repeated step always sees what others did.
class ApplyRun : public std::enable_shared_from_this<ApplyRun>
{
public:
  ApplyRun(ObjectStore& aStore,
           TimerService& aTimers,
           const Sheet& aSheet,
           const ApplyOptions& aOptions,
           std::function<void(ApplyResult)> aCallback);

  void ReadHead();

private:
  void OnHead(const StoreResult& aResult);
  bool ResolveByHistory(const Manifest& aHead);
  void CheckBase(const Manifest& aHead);
  void PrepareNext(const Manifest& aHead);
  void WriteParts();
  void WriteHead(const std::string& aText);
  void ConfirmUnchanged(const Manifest& aHead);
  void OnHeadWritten(const StoreResult& aResult);
  void Repeat(const char* aReason);
  void Refuse(const Manifest& aHead);
  void Finish(ApplyOutcome aOutcome, ConfigVersion aVersion, std::string aText);

  ObjectStore& store_;
  TimerService& timers_;
  const std::string applyId_;
  std::function<void(ApplyResult)> callback_;
  /// None until the first read when neither the options nor the sheet name a base.
  std::optional<ConfigVersion> base_;
  std::map<std::string, std::string> parts_;
  std::vector<std::string> missing_;
  Manifest next_;
  StoreRevision headRevision_;
  /// True once an update of the head may have taken effect without an answer.
  bool mayBeAccepted_ = false;
  unsigned repeats_ = 0;
  Micros pause_ = kFirstPause;
};

ApplyRun::ApplyRun(ObjectStore& aStore,
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
    next_.partHashes_[name] = hash;
    parts_[std::move(hash)] = std::move(text);
  }
  next_.sheetHash_ = SheetHash(next_.partHashes_);
}

void
ApplyRun::ReadHead()
{
  store_.Get(kConfigHeadKey, [self = shared_from_this()](const StoreResult& aResult) { self->OnHead(aResult); });
}

void
ApplyRun::OnHead(const StoreResult& aResult)
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
    Repeat("the object API is unavailable");
    return;
  }
  headRevision_ = aResult.revision_;
  if (ResolveByHistory(head)) {
    return;
  }
  if (head.sheetHash_ == next_.sheetHash_) {
    ConfirmUnchanged(head);
    return;
  }
  CheckBase(head);
}

/// Finishes when the head's history tells whether the lost update took effect, also if others were accepted after it.
bool
ApplyRun::ResolveByHistory(const Manifest& aHead)
{
  for (const ManifestEntry& entry : aHead.history_) {
    if (entry.applyId_ == applyId_) {
      Finish(ApplyOutcome::Accepted, entry.version_, "accepted");
      return true;
    }
  }
  const bool historyIsTooShort = !aHead.history_.empty() && aHead.history_.front().version_ > next_.version_;
  if (mayBeAccepted_ && historyIsTooShort) {
    Finish(ApplyOutcome::Unknown, aHead.version_, "the history no longer holds the version that was tried");
    return true;
  }
  return false;
}

void
ApplyRun::CheckBase(const Manifest& aHead)
{
  if (!base_) {
    base_ = aHead.version_;
  }
  if (aHead.version_ < *base_) {
    // The read lags, or the sheet names a version that does not exist yet.
    Repeat("the base version was not found in the store");
    return;
  }
  if (aHead.version_ > *base_) {
    Refuse(aHead);
    return;
  }
  PrepareNext(aHead);
  WriteParts();
}

void
ApplyRun::PrepareNext(const Manifest& aHead)
{
  next_.version_ = aHead.version_.Next();
  next_.history_ = aHead.history_;
  next_.history_.push_back({ next_.version_, next_.sheetHash_, applyId_ });
  if (next_.history_.size() > kManifestHistoryLength) {
    next_.history_.erase(next_.history_.begin());
  }
  missing_.clear();
  for (const auto& [service, hash] : next_.partHashes_) {
    auto inForce = aHead.partHashes_.find(service);
    if (inForce == aHead.partHashes_.end() || inForce->second != hash) {
      missing_.push_back(hash);
    }
  }
}

/// Writes the missing parts one by one. A conflict means that the part exists: its key is the hash of its content.
void
ApplyRun::WriteParts()
{
  if (missing_.empty()) {
    WriteHead(EncodeManifest(next_));
    return;
  }
  const std::string& hash = missing_.back();
  store_.Put(PartKey(hash), parts_.at(hash), StoreRevision(), [self = shared_from_this()](const StoreResult& aResult) {
    if (aResult.outcome_ == StoreOutcome::Ok || aResult.outcome_ == StoreOutcome::Conflict) {
      self->missing_.pop_back();
      self->WriteParts();
    } else {
      self->Repeat("the object API did not take a part of the sheet");
    }
  });
}

void
ApplyRun::WriteHead(const std::string& aText)
{
  store_.Put(kConfigHeadKey, aText, headRevision_, [self = shared_from_this()](const StoreResult& aResult) {
    self->OnHeadWritten(aResult);
  });
}

/// Writes the head back as it was read. Only the store's answer to a conditional update proves that the read was not
/// a lagging one and that the sheet is still in force.
void
ApplyRun::ConfirmUnchanged(const Manifest& aHead)
{
  const ConfigVersion version = aHead.version_;
  store_.Put(kConfigHeadKey,
             EncodeManifest(aHead),
             headRevision_,
             [self = shared_from_this(), version](const StoreResult& aResult) {
               if (aResult.outcome_ == StoreOutcome::Ok) {
                 self->Finish(ApplyOutcome::Unchanged, version, "the sheet is equal to the version in force");
               } else {
                 self->Repeat("the version in force could not be confirmed");
               }
             });
}

void
ApplyRun::OnHeadWritten(const StoreResult& aResult)
{
  if (aResult.outcome_ == StoreOutcome::Ok) {
    Finish(ApplyOutcome::Accepted, next_.version_, "accepted");
    return;
  }
  mayBeAccepted_ = mayBeAccepted_ || aResult.outcome_ == StoreOutcome::Unknown;
  Repeat(aResult.outcome_ == StoreOutcome::Conflict ? "another sheet was accepted at the same time"
                                                    : "the object API did not confirm the new version");
}

/// Reads the head again after a pause, or gives up.
void
ApplyRun::Repeat(const char* aReason)
{
  if (repeats_ == kMaxRepeats) {
    Finish(mayBeAccepted_ ? ApplyOutcome::Unknown : ApplyOutcome::Failed, {}, aReason);
    return;
  }
  repeats_++;
  timers_.After(pause_, [self = shared_from_this()] { self->ReadHead(); });
  pause_ = std::min(2 * pause_, kLongestPause);
}

/// Ends with the names of the services in which the sheet differs from the version in force.
void
ApplyRun::Refuse(const Manifest& aHead)
{
  std::map<ServiceName, std::string> differing;
  const auto mark = [&differing](const auto& aFrom, const auto& aOther) {
    for (const auto& [service, hash] : aFrom) {
      auto found = aOther.find(service);
      if (found == aOther.end() || found->second != hash) {
        differing[service] = hash;
      }
    }
  };
  mark(aHead.partHashes_, next_.partHashes_);
  mark(next_.partHashes_, aHead.partHashes_);
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
ApplyRun::Finish(ApplyOutcome aOutcome, ConfigVersion aVersion, std::string aText)
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
  std::make_shared<ApplyRun>(aStore, aTimers, aSheet, aOptions, std::move(aCallback))->ReadHead();
}

} // namespace ibisrock
