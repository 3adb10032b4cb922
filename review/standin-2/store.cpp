#include "store.h"

#include <chrono>
#include <cstdlib>

namespace standin {

namespace {

constexpr int kIdleMs = 120000;
constexpr size_t kPageSize = 500;
constexpr size_t kPageBytes = 1048576;
const std::string kRoot = "/-/objects/";

std::map<std::string, std::string>
ParseQuery(const std::string& aText)
{
  std::map<std::string, std::string> query;
  size_t begin = 0;
  while (begin < aText.size()) {
    const size_t end = std::min(aText.find('&', begin), aText.size());
    const std::string part = aText.substr(begin, end - begin);
    const size_t equals = part.find('=');
    query[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
    begin = end + 1;
  }
  return query;
}

uint64_t
Number(const std::map<std::string, std::string>& aQuery, const std::string& aName)
{
  const auto found = aQuery.find(aName);
  return found == aQuery.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

} // namespace

Store::Store()
{
  listener_ = std::make_unique<Listener>([this](Stream& aStream) { Serve(aStream); });
}

uint16_t
Store::Port() const
{
  return listener_->Port();
}

void
Store::Put(const std::string& aKind, const std::string& aName, const Json& aSpec)
{
  const std::lock_guard lock(mutex_);
  PutLocked(aKind, aName, aSpec);
}

void
Store::CheckIn(const std::string& aName, const Json& aSpec)
{
  const std::lock_guard lock(mutex_);
  const auto found = objects_["servers"].find(aName);
  if (found != objects_["servers"].end() && found->second["spec"].is_object()) {
    Json known = found->second["spec"];
    known["seqNo"] = aSpec["seqNo"];
    if (known == aSpec) {
      return;
    }
  }
  PutLocked("servers", aName, aSpec);
}

void
Store::Delete(const std::string& aKind, const std::string& aName)
{
  const std::lock_guard lock(mutex_);
  DeleteLocked(aKind, aName);
}

Store::Json
Store::Get(const std::string& aKind, const std::string& aName) const
{
  const std::lock_guard lock(mutex_);
  const auto kind = objects_.find(aKind);
  if (kind == objects_.end() || !kind->second.contains(aName)) {
    return nullptr;
  }
  return kind->second.at(aName);
}

void
Store::SetAway(bool aIsAway)
{
  const std::lock_guard lock(mutex_);
  isAway_ = aIsAway;
  changed_.notify_all();
}

void
Store::Copy()
{
  const std::lock_guard lock(mutex_);
  copy_ = objects_;
  copiedRevision_ = revision_;
}

void
Store::ReturnFromCopy()
{
  const std::lock_guard lock(mutex_);
  objects_ = copy_;
  revision_ = copiedRevision_;
  oldest_ = revision_;
  history_.clear();
  era_++;
  isAway_ = false;
  changed_.notify_all();
}

void
Store::Serve(Stream& aStream)
{
  for (std::optional<Message> request = aStream.Read(kIdleMs); request; request = aStream.Read(kIdleMs)) {
    const Message answer = Answer(*request);
    if (answer.start_.empty()) {
      aStream.Reset();
      return;
    }
    if (!aStream.Send(answer.Text())) {
      return;
    }
  }
}

/// Returns an empty message while the store is away.
Message
Store::Answer(const Message& aRequest)
{
  const std::string target = aRequest.Target();
  const size_t mark = std::min(target.find('?'), target.size());
  const std::map<std::string, std::string> query =
    ParseQuery(mark < target.size() ? target.substr(mark + 1) : std::string());
  const std::string path = target.substr(0, mark);
  {
    const std::lock_guard lock(mutex_);
    if (isAway_) {
      return {};
    }
    if (!path.starts_with(kRoot)) {
      return MakeJson(404, Json::object());
    }
  }
  const std::string place = path.substr(kRoot.size());
  const std::string kind = place.substr(0, place.find('/'));
  const std::string name = kind.size() < place.size() ? place.substr(kind.size() + 1) : std::string();
  if (aRequest.Method() == "GET" && query.contains("watch")) {
    return Watch(kind, Number(query, "watch"), static_cast<int64_t>(Number(query, "waitMs")));
  }
  const std::lock_guard lock(mutex_);
  if (aRequest.Method() != "GET") {
    return Write(aRequest, kind, name, Number(query, "revision"));
  }
  if (name.empty()) {
    return List(kind, query);
  }
  const auto found = objects_[kind].find(name);
  return found == objects_[kind].end() ? MakeJson(404, Json::object()) : MakeJson(200, found->second);
}

Message
Store::List(const std::string& aKind, const std::map<std::string, std::string>& aQuery)
{
  const auto& objects = objects_[aKind];
  auto next = aQuery.contains("after") ? objects.upper_bound(aQuery.at("after")) : objects.begin();
  Json items = Json::array();
  size_t bytes = 0;
  for (; next != objects.end() && items.size() < kPageSize; ++next) {
    bytes += next->second.dump().size();
    if (bytes > kPageBytes && !items.empty()) {
      break;
    }
    items.push_back(next->second);
  }
  return MakeJson(200, { { "items", items }, { "hasMore", next != objects.end() }, { "asOf", revision_ } });
}

Message
Store::Watch(const std::string& aKind, uint64_t aFrom, int64_t aWaitMs)
{
  std::unique_lock lock(mutex_);
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(aWaitMs);
  const uint64_t era = era_;
  for (;;) {
    if (isAway_) {
      return {};
    }
    if (era != era_ || aFrom < oldest_ || aFrom > revision_) {
      return MakeJson(410, Json::object());
    }
    Json events = Json::array();
    for (const Change& change : history_) {
      if (change.revision_ > aFrom && change.kind_ == aKind) {
        events.push_back({ { "object", change.object_ }, { "deleted", change.isDeleted_ } });
      }
    }
    if (!events.empty() || std::chrono::steady_clock::now() >= until) {
      return MakeJson(200, { { "events", events }, { "asOf", revision_ } });
    }
    changed_.wait_until(lock, until);
  }
}

Message
Store::Write(const Message& aRequest, const std::string& aKind, std::string aName, uint64_t aRevision)
{
  const Json body = Json::parse(aRequest.body_, nullptr, false);
  const Json meta = body.is_object() ? body.value("meta", Json::object()) : Json::object();
  if (aName.empty()) {
    aName = meta.value("name", std::string());
  }
  const bool exists = objects_[aKind].contains(aName);
  const uint64_t condition = aRevision > 0 ? aRevision : meta.value("revision", uint64_t{ 0 });
  if (exists) {
    const Json& object = objects_[aKind][aName];
    const bool isOther = condition > 0 && condition != object["meta"]["revision"].get<uint64_t>();
    if (aRequest.Method() == "POST" || isOther) {
      return MakeJson(409, object);
    }
  } else if (aRequest.Method() != "POST") {
    return MakeJson(404, Json::object());
  }
  if (aRequest.Method() == "DELETE") {
    DeleteLocked(aKind, aName);
    return MakeJson(200, Json::object());
  }
  PutLocked(aKind, aName, body.is_object() ? body.value("spec", Json()) : Json());
  return MakeJson(200, objects_[aKind][aName]);
}

Message
Store::MakeJson(int aStatus, const Json& aContent) const
{
  return MakeAnswer(
    aStatus, { { "Content-Type", "application/json" }, { "Store-Era", std::to_string(era_) } }, aContent.dump());
}

void
Store::PutLocked(const std::string& aKind, const std::string& aName, const Json& aSpec)
{
  Json& object = objects_[aKind][aName];
  if (!object.is_null() && object["spec"] == aSpec) {
    return;
  }
  const uint64_t created = object.is_null() ? revision_ + 1 : object["meta"]["createRevision"].get<uint64_t>();
  object = { { "meta",
               { { "name", aName },
                 { "revision", ++revision_ },
                 { "createRevision", created },
                 { "finalizers", Json::array() },
                 { "deleting", false } } },
             { "spec", aSpec },
             { "status", nullptr } };
  history_.push_back({ revision_, aKind, object, false });
  changed_.notify_all();
}

void
Store::DeleteLocked(const std::string& aKind, const std::string& aName)
{
  auto node = objects_[aKind].extract(aName);
  if (node.empty()) {
    return;
  }
  history_.push_back({ ++revision_, aKind, node.mapped(), true });
  changed_.notify_all();
}

} // namespace standin
