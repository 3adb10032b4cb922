#include "process/kind_progress.h"

#include "fakes/explorer.h"
#include "process/store_eras.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>

namespace ibisrock {
namespace {

using fakes::Choices;

StorePosition
At(uint64_t aEra, uint64_t aRevision)
{
  return { StoreEra(aEra), StoreRevision(aRevision) };
}

struct ListCase
{
  const char* name_;
  StorePosition known_;
  std::vector<StorePosition> pages_;
  KindProgress::PageVerdict last_;
  bool beginsEra_ = false;
};

class ListRule : public testing::TestWithParam<ListCase>
{};

/// Guards against lists that bring back what is past, that are never taken after the store's return from an older copy,
/// or whose pages belong to two eras.
TEST_P(ListRule, JudgesPagesByTheirPosition)
{
  const ListCase& test = GetParam();
  KindProgress progress;
  ASSERT_EQ(progress.OnPage(test.known_, true), KindProgress::PageVerdict::Take);
  progress.OnListEnd();
  for (size_t i = 0; i < test.pages_.size(); i++) {
    const bool isLast = i + 1 == test.pages_.size();
    EXPECT_EQ(progress.OnPage(test.pages_[i], i == 0), isLast ? test.last_ : KindProgress::PageVerdict::Take);
  }
  if (test.last_ == KindProgress::PageVerdict::Take) {
    EXPECT_EQ(progress.OnListEnd(), test.beginsEra_);
    EXPECT_EQ(progress.Known(), test.pages_.front());
  } else {
    EXPECT_EQ(progress.Known(), test.known_);
  }
}

using Page = KindProgress::PageVerdict;

INSTANTIATE_TEST_SUITE_P(
  KindProgress,
  ListRule,
  testing::Values(ListCase{ "Newer", At(1, 10), { At(1, 11) }, Page::Take },
                  ListCase{ "Same", At(1, 10), { At(1, 10) }, Page::Take },
                  ListCase{ "Older", At(1, 10), { At(1, 9) }, Page::Behind },
                  ListCase{ "NextEraLowerRevision", At(1, 10), { At(2, 3) }, Page::Take, true },
                  ListCase{ "NextEraSameRevision", At(1, 10), { At(2, 10) }, Page::Take, true },
                  ListCase{ "OlderEraHigherRevision", At(2, 10), { At(1, 99) }, Page::Behind },
                  ListCase{ "PagesOfOneEra", At(1, 10), { At(1, 11), At(1, 12) }, Page::Take },
                  ListCase{ "PagesOfTwoEras", At(1, 10), { At(1, 11), At(2, 12) }, Page::OtherList },
                  ListCase{ "LaterPageOfOlderEra", At(1, 10), { At(2, 4), At(1, 12) }, Page::OtherList },
                  ListCase{ "LaterPageGoesBack", At(0, 10), { At(0, 11), At(0, 4) }, Page::OtherList },
                  ListCase{ "WithoutEras", At(0, 10), { At(0, 9) }, Page::Behind }),
  [](const auto& aInfo) { return aInfo.param.name_; });

struct WatchCase
{
  const char* name_;
  StorePosition known_;
  StorePosition stated_;
  KindProgress::WatchVerdict verdict_;
};

class WatchRule : public testing::TestWithParam<WatchCase>
{};

/// Guards against a watch that is carried on into another era, where the revision stands for another content.
TEST_P(WatchRule, JudgesAnswersByTheirPosition)
{
  const WatchCase& test = GetParam();
  KindProgress progress;
  progress.OnPage(test.known_, true);
  progress.OnListEnd();
  EXPECT_EQ(progress.OnWatchAnswer(test.stated_), test.verdict_);
  EXPECT_EQ(progress.Known(), test.verdict_ == KindProgress::WatchVerdict::Take ? test.stated_ : test.known_);
}

using Watch = KindProgress::WatchVerdict;

INSTANTIATE_TEST_SUITE_P(KindProgress,
                         WatchRule,
                         testing::Values(WatchCase{ "Newer", At(1, 10), At(1, 12), Watch::Take },
                                         WatchCase{ "Unchanged", At(1, 10), At(1, 10), Watch::Take },
                                         WatchCase{ "RelayIsBehind", At(1, 10), At(1, 9), Watch::Behind },
                                         WatchCase{ "NextEraHigherRevision", At(1, 10), At(2, 12), Watch::OtherEra },
                                         WatchCase{ "NextEraLowerRevision", At(1, 10), At(2, 3), Watch::OtherEra },
                                         WatchCase{ "OlderEra", At(2, 10), At(1, 12), Watch::OtherEra }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

// ---- Model: a store that returns from older copies, a relay, and an instance that uses either ----

/// The values of two objects, so that a change of one may be missed while the other is taken.
using Content = std::array<uint64_t, 2>;

struct Answer
{
  StoreEra era_;
  uint64_t status_ = 200;
  bool isList_ = false;
  StoreRevision revision_;
  /// The objects of a list, or those that changed.
  std::map<size_t, uint64_t> objects_;
};

/// What the store had at each position.
using Truth = std::map<StorePosition, Content>;

class ModelStore
{
public:
  ModelStore() { truth_[position_] = content_; }

  void Write(size_t aObject)
  {
    content_[aObject] = ++lastValue_;
    position_.revision_ = position_.revision_.Next();
    changes_[position_.revision_] = aObject;
    truth_[position_] = content_;
  }
  /// Returns from the copy that was taken at the revision.
  void ReturnFrom(StoreRevision aRevision)
  {
    const StoreEra era = position_.era_;
    changes_.erase(changes_.upper_bound(aRevision), changes_.end());
    content_ = truth_.at({ era, aRevision });
    position_ = { era.Next(), aRevision };
    // The new era has the history of the copy.
    for (StoreRevision revision(1); revision <= aRevision; revision = revision.Next()) {
      truth_[{ position_.era_, revision }] = truth_.at({ era, revision });
    }
  }
  Answer List() const
  {
    return { position_.era_, 200, true, position_.revision_, { { 0, content_[0] }, { 1, content_[1] } } };
  }
  Answer Watch(StoreRevision aFrom) const
  {
    if (aFrom > position_.revision_) {
      return { position_.era_, 410, false, {}, {} };
    }
    Answer answer{ position_.era_, 200, false, position_.revision_, {} };
    for (auto change = changes_.upper_bound(aFrom); change != changes_.end(); ++change) {
      answer.objects_[change->second] = content_[change->second];
    }
    return answer;
  }
  const StorePosition& Position() const { return position_; }
  const Truth& History() const { return truth_; }
  std::string Text() const
  {
    std::ostringstream text;
    for (const auto& [position, content] : truth_) {
      text << ToString(position) << '=' << content[0] << ',' << content[1] << ' ';
    }
    return text.str() + ToString(position_);
  }

private:
  StorePosition position_ = At(1, 1);
  Content content_{};
  uint64_t lastValue_ = 0;
  /// The object that changed at each revision.
  std::map<StoreRevision, size_t> changes_;
  Truth truth_;
};

/// Ways to order what is known, so that the model can show that it finds the faults of the wrong one.
enum class Order : uint8_t
{
  ByPosition,
  /// Eras are not known; a list is taken if its revision is not lower.
  ByRevision,
};

/// An instance that follows the store or a relay. Reacts to the verdicts as KindWatcher does.
class Follower
{
public:
  explicit Follower(Order aOrder)
    : order_(aOrder)
  {
  }

  bool NeedsList() const { return !isListed_ || progress_.Known().era_ != eras_.Newest(); }
  const StorePosition& Known() const { return progress_.Known(); }
  const Content& Objects() const { return content_; }
  bool IsListed() const { return isListed_; }

  void Take(const Answer& aAnswer, EraSource aSource)
  {
    const StoreEra era = order_ == Order::ByPosition ? aAnswer.era_ : StoreEra();
    if (eras_.Judge(era, aSource) == EraVerdict::Disregarded) {
      return;
    }
    if (aAnswer.status_ != 200) {
      isListed_ = isListed_ && aAnswer.status_ != 410;
      return;
    }
    const StorePosition stated{ era, aAnswer.revision_ };
    if (aAnswer.isList_) {
      if (progress_.OnPage(stated, true) == KindProgress::PageVerdict::Take) {
        progress_.OnListEnd();
        isListed_ = true;
        Apply(aAnswer);
      }
      return;
    }
    if (!isListed_) {
      return;
    }
    switch (progress_.OnWatchAnswer(stated)) {
      case KindProgress::WatchVerdict::Take:
        Apply(aAnswer);
        break;
      case KindProgress::WatchVerdict::OtherEra:
        isListed_ = false;
        break;
      case KindProgress::WatchVerdict::Behind:
        break;
    }
  }

  /// What a relay answers to the next call of another follower. It knows only the changes since its last list.
  Answer Serve(const Follower& aAsker) const
  {
    const StorePosition& known = Known();
    if (NeedsList()) {
      return { known.era_, 503, false, {}, {} };
    }
    if (aAsker.NeedsList()) {
      return { known.era_, 200, true, known.revision_, { { 0, content_[0] }, { 1, content_[1] } } };
    }
    if (aAsker.Known().era_ != known.era_ || aAsker.Known() < oldest_) {
      return { known.era_, 410, false, {}, {} };
    }
    Answer answer{ known.era_, 200, false, known.revision_, {} };
    for (const auto& [object, position] : changedAt_) {
      if (position > aAsker.Known()) {
        answer.objects_[object] = content_[object];
      }
    }
    return answer;
  }

  std::string Text() const
  {
    std::ostringstream text;
    text << ToString(Known()) << ' ' << isListed_ << content_[0] << ',' << content_[1] << ' ' << eras_.Newest() << ' '
         << eras_.Candidate() << eras_.IsConfirmed() << ' ' << ToString(oldest_);
    for (const auto& [object, position] : changedAt_) {
      text << ' ' << object << '@' << ToString(position);
    }
    return text.str();
  }

private:
  void Apply(const Answer& aAnswer)
  {
    if (aAnswer.isList_) {
      oldest_ = Known();
      changedAt_.clear();
    }
    for (const auto& [object, value] : aAnswer.objects_) {
      content_[object] = value;
      if (!aAnswer.isList_) {
        changedAt_[object] = Known();
      }
    }
  }

  Order order_;
  StoreEras eras_;
  KindProgress progress_;
  bool isListed_ = false;
  Content content_{};
  StorePosition oldest_;
  std::map<size_t, StorePosition> changedAt_;
};

struct ModelBounds
{
  unsigned steps_;
  unsigned writes_;
  unsigned returns_;
};

class EraModel
{
public:
  EraModel(Order aOrder, const ModelBounds& aBounds)
    : left_(aBounds)
    , relay_(aOrder)
    , instance_(aOrder)
  {
  }

  /// Takes the steps that the choices tell, then lets everything answer. Returns what is wrong, or an empty text.
  std::string Run(Choices& aChoices)
  {
    for (; left_.steps_ > 0; left_.steps_--) {
      if (!aChoices.Enter(std::hash<std::string>()(Text()))) {
        return "";
      }
      const auto steps = PossibleSteps();
      (this->*steps[aChoices.Choose(steps.size())])();
      if (std::string fault = FindFault(); !fault.empty()) {
        return fault;
      }
    }
    return Settle();
  }

private:
  using Step = void (EraModel::*)();

  std::vector<Step> PossibleSteps() const
  {
    std::vector<Step> steps{ &EraModel::AskForRelay, &EraModel::AskForInstance, &EraModel::SwitchSource };
    if (left_.writes_ > 0) {
      steps.insert(steps.end(), { &EraModel::WriteFirst, &EraModel::WriteSecond });
    }
    if (left_.returns_ > 0) {
      steps.push_back(&EraModel::ReturnFromFirstCopy);
      if (store_.Position().revision_ > StoreRevision(2)) {
        steps.push_back(&EraModel::ReturnFromLatestCopy);
      }
    }
    if (toRelay_) {
      steps.insert(steps.end(), { &EraModel::DeliverToRelay, &EraModel::LoseForRelay });
    }
    if (toInstance_) {
      steps.insert(steps.end(), { &EraModel::DeliverToInstance, &EraModel::LoseForInstance });
    }
    return steps;
  }

  void WriteFirst() { Write(0); }
  void WriteSecond() { Write(1); }
  void Write(size_t aObject)
  {
    left_.writes_--;
    store_.Write(aObject);
  }
  void ReturnFromFirstCopy() { ReturnFrom(StoreRevision(1)); }
  void ReturnFromLatestCopy() { ReturnFrom(StoreRevision(store_.Position().revision_.Value() - 1)); }
  void ReturnFrom(StoreRevision aRevision)
  {
    left_.returns_--;
    store_.ReturnFrom(aRevision);
  }
  Answer AskStore(const Follower& aAsker) const
  {
    return aAsker.NeedsList() ? store_.List() : store_.Watch(aAsker.Known().revision_);
  }
  void AskForRelay() { toRelay_ = AskStore(relay_); }
  void AskForInstance() { toInstance_ = usesRelay_ ? relay_.Serve(instance_) : AskStore(instance_); }
  void SwitchSource()
  {
    usesRelay_ = !usesRelay_;
    toInstance_.reset();
  }
  void DeliverToRelay() { relay_.Take(*std::exchange(toRelay_, std::nullopt), EraSource::Store); }
  void LoseForRelay() { toRelay_.reset(); }
  void DeliverToInstance()
  {
    instance_.Take(*std::exchange(toInstance_, std::nullopt), usesRelay_ ? EraSource::Relay : EraSource::Store);
  }
  void LoseForInstance() { toInstance_.reset(); }

  /// What is known at a position must be what the store had there.
  std::string FindFault() const
  {
    for (const Follower* follower : { &relay_, &instance_ }) {
      if (!follower->IsListed() || follower->Known().era_.IsNone()) {
        continue;
      }
      const auto had = store_.History().find(follower->Known());
      if (had == store_.History().end() || had->second != follower->Objects()) {
        return "knows at " + ToString(follower->Known()) + " what the store did not have there";
      }
    }
    return "";
  }

  /// After the last step the relay and the instance reach what the store has.
  std::string Settle()
  {
    constexpr int kRounds = 6;
    for (int round = 0; round < kRounds; round++) {
      relay_.Take(AskStore(relay_), EraSource::Store);
      AskForInstance();
      DeliverToInstance();
    }
    const Content& has = store_.History().at(store_.Position());
    return relay_.Objects() == has && instance_.Objects() == has ? FindFault() : "does not reach what the store has";
  }

  std::string Text() const
  {
    std::ostringstream text;
    text << left_.steps_ << ' ' << left_.writes_ << ' ' << left_.returns_ << ' ' << usesRelay_ << '|' << store_.Text()
         << '|' << relay_.Text() << '|' << instance_.Text();
    for (const auto& answer : { toRelay_, toInstance_ }) {
      text << '|';
      if (answer) {
        text << answer->era_ << ' ' << answer->status_ << ' ' << answer->isList_ << ' ' << answer->revision_;
        for (const auto& [object, value] : answer->objects_) {
          text << ' ' << object << '=' << value;
        }
      }
    }
    return text.str();
  }

  ModelBounds left_;
  ModelStore store_;
  Follower relay_;
  Follower instance_;
  bool usesRelay_ = true;
  /// Answers on their way.
  std::optional<Answer> toRelay_;
  std::optional<Answer> toInstance_;
};

fakes::Exploration
ExploreEras(Order aOrder, const ModelBounds& aBounds)
{
  fakes::Exploration exploration =
    fakes::Explore([&](Choices& aChoices) { return EraModel(aOrder, aBounds).Run(aChoices); });
  testing::Test::RecordProperty("states", std::to_string(exploration.states_));
  std::cout << "explored " << exploration.runs_ << " runs, " << exploration.states_ << " states\n";
  if (!exploration.failure_.empty()) {
    std::cout << "failing choices " << fakes::ToText(exploration.choices_) << ": " << exploration.failure_ << "\n";
  }
  return exploration;
}

/// Guards against any order of answers, losses, writes and returns of the store after which an instance holds an entry
/// of an older era, or never reaches what the store has.
TEST(StoreEraModel, EveryOrderLeavesWhatTheStoreHas)
{
  EXPECT_EQ(ExploreEras(Order::ByPosition, { 9, 2, 2 }).failure_, "");
}

/// Shows that the model finds the fault of an order by revisions alone.
TEST(StoreEraModel, FindsTheFaultOfRevisionsWithoutEras)
{
  EXPECT_NE(ExploreEras(Order::ByRevision, { 9, 2, 1 }).failure_, "");
}

} // namespace
} // namespace ibisrock
