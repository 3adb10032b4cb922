#include "fakes/fake_cluster.h"

#include "version/apply.h"
#include "version/sheet.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace ibisrock::fakes {

namespace {

constexpr Micros kStartStep = Millis(10);
constexpr unsigned kMaxStartSteps = 3000;
/// Start times of real processes differ by far more than the incarnations that refutations add.
constexpr uint64_t kIncarnationStep = 1000;

} // namespace

void
FakeInstanceList::Fetch(Callback aCallback)
{
  std::optional<std::vector<ListedInstance>> listed;
  {
    std::lock_guard lock(mutex_);
    fetches_++;
    if (available_) {
      listed = listed_;
    }
  }
  aCallback(std::move(listed));
}

void
FakeInstanceList::Set(std::vector<ListedInstance> aListed)
{
  std::lock_guard lock(mutex_);
  listed_ = std::move(aListed);
}

void
FakeInstanceList::SetAvailable(bool aAvailable)
{
  std::lock_guard lock(mutex_);
  available_ = aAvailable;
}

uint64_t
FakeInstanceList::Fetches() const
{
  std::lock_guard lock(mutex_);
  return fetches_;
}

FakeCluster::FakeCluster(const ClusterShape& aShape, uint64_t aSeed)
  : random_(aSeed)
  , network_(timers_)
  , store_(timers_)
  , targets_(timers_, random_)
  , shape_(aShape)
  , instances_(aShape.instances_)
  , starts_(aShape.instances_)
{
  for (unsigned shard = 0; shard < shape_.shards_; shard++) {
    for (unsigned replica = 0; replica < shape_.replicas_; replica++) {
      FakeTarget target;
      target.slots_ = shape_.slots_;
      targets_.Set(TargetOf(shard, replica), target);
    }
  }
}

TargetName
FakeCluster::TargetOf(unsigned aShard, unsigned aReplica)
{
  return TargetName("s" + std::to_string(aShard) + "-r" + std::to_string(aReplica));
}

PeerAddress
FakeCluster::AddressOf(size_t aIndex) const
{
  return PeerAddress("10.0.0." + std::to_string(aIndex + 1) + ":7000");
}

Query
FakeCluster::MakeQuery(std::string aBody)
{
  Query query;
  query.service_ = ServiceName(kClusterService);
  query.caller_ = CallerName("jetty");
  query.body_ = std::move(aBody);
  return query;
}

std::string
FakeCluster::SheetText() const
{
  std::ostringstream out;
  out << "service," << kClusterService << "," << shape_.priority_ << "," << shape_.deadline_.count() << ","
      << shape_.softDeadline_.count() << "," << shape_.queriesPerSecond_ << "," << shape_.concurrent_ << ",1\n";
  for (unsigned shard = 0; shard < shape_.shards_; shard++) {
    out << "shard," << kClusterService << ",s" << shard << "\n";
    for (unsigned replica = 0; replica < shape_.replicas_; replica++) {
      out << "target," << kClusterService << ",s" << shard << "," << TargetOf(shard, replica) << ",10.1." << shard
          << "." << replica + 1 << ":9000,dc" << (shard + replica) % shape_.dataCentres_ << "," << shape_.slots_ << ","
          << shape_.connections_ << ",6\n";
    }
  }
  return out.str();
}

ListedInstance
FakeCluster::Listed(size_t aIndex) const
{
  return { InstanceId("entry-" + std::to_string(aIndex)),
           AddressOf(aIndex),
           DataCentre("dc" + std::to_string(aIndex % shape_.dataCentres_)),
           false };
}

void
FakeCluster::Launch(size_t aIndex)
{
  const ListedInstance listed = Listed(aIndex);
  auto running = std::make_unique<Running>();
  running->gate_ = std::make_shared<ProcessGate>();
  running->transport_ = std::make_unique<FakeTransport>(network_, listed.address_);
  running->timers_ = std::make_unique<GatedTimers>(timers_, running->gate_);
  running->targets_ = std::make_unique<GatedTargets>(targets_, running->gate_);
  running->calls_ = std::make_unique<CountingStore>(store_);
  running->store_ = std::make_unique<GatedStore>(*running->calls_, running->gate_);
  lastIncarnation_ += kIncarnationStep;
  const InstanceIdentity self{ listed.id_, listed.address_, listed.dataCentre_, Incarnation(lastIncarnation_) };
  LastReason reason;
  const Environment environment{
    *running->timers_, random_, *running->transport_, *running->targets_, *running->store_, list_, nullptr, logs_
  };
  auto instance = Instance::Create(self, environment, reason, shape_.tuning_);
  if (!instance) {
    throw std::runtime_error(reason.Text());
  }
  running->instance_ = std::move(*instance);
  network_.Attach(listed.address_, [raw = running->instance_.get(), gate = running->gate_](std::string_view aBytes) {
    gate->Pass([raw, bytes = std::string(aBytes)] { raw->Receive(bytes); });
  });
  running->instance_->Start();
  instances_[aIndex] = std::move(running);
  starts_[aIndex]++;
}

void
FakeCluster::Start()
{
  std::vector<SheetFault> faults;
  auto sheet = ParseSheet(SheetText(), faults);
  if (!sheet) {
    throw std::runtime_error(faults.front().text_);
  }
  ApplySheet(store_, timers_, *sheet, { "first", {} }, [](const ApplyResult&) {});
  std::vector<ListedInstance> listed;
  for (size_t index = 0; index < instances_.size(); index++) {
    listed.push_back(Listed(index));
  }
  list_.Set(std::move(listed));
  for (size_t index = 0; index < instances_.size(); index++) {
    Launch(index);
  }
  for (unsigned step = 0; step < kMaxStartSteps; step++) {
    timers_.Advance(kStartStep);
    const bool ready = std::all_of(instances_.begin(), instances_.end(), [](const auto& aRunning) {
      LastReason reason;
      return aRunning->instance_->IsReady(reason);
    });
    if (ready) {
      return;
    }
  }
  throw std::runtime_error("an instance did not become ready");
}

void
FakeCluster::Kill(size_t aIndex)
{
  network_.Detach(AddressOf(aIndex));
  instances_.at(aIndex)->gate_->Kill();
  ended_.push_back(std::move(instances_.at(aIndex)));
}

void
FakeCluster::Restart(size_t aIndex)
{
  Launch(aIndex);
}

void
FakeCluster::Freeze(size_t aIndex)
{
  instances_.at(aIndex)->gate_->Freeze();
}

void
FakeCluster::Thaw(size_t aIndex)
{
  instances_.at(aIndex)->gate_->Thaw();
}

void
FakeCluster::Submit(size_t aIndex, Query aQuery, AnswerCallback aCallback)
{
  Running& running = *instances_.at(aIndex);
  running.gate_->Pass([raw = running.instance_.get(), query = std::move(aQuery), callback = std::move(aCallback)] {
    raw->Submit(query, callback);
  });
}

Answer
FakeCluster::Ask(size_t aIndex, Query aQuery)
{
  std::optional<Answer> answer;
  Submit(aIndex, std::move(aQuery), [&answer](Answer aAnswer) { answer = std::move(aAnswer); });
  while (!answer) {
    if (!timers_.RunNext()) {
      throw std::runtime_error("a query was never answered");
    }
  }
  return *answer;
}

} // namespace ibisrock::fakes
