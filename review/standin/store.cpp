#include "store.h"

#include <algorithm>
#include <chrono>

namespace review {

namespace {

using nlohmann::json;

constexpr std::string_view kRoot = "/-/objects/";

/// Returns a parameter of the query, or an empty text.
std::string
Parameter(const std::string& aTarget, const std::string& aName)
{
  size_t at = aTarget.find('?');
  while (at != std::string::npos) {
    const size_t end = std::min(aTarget.find('&', at + 1), aTarget.size());
    const std::string pair = aTarget.substr(at + 1, end - at - 1);
    if (pair.starts_with(aName + "=")) {
      return pair.substr(aName.size() + 1);
    }
    at = end == aTarget.size() ? std::string::npos : end;
  }
  return "";
}

uint64_t
NumberParameter(const std::string& aTarget, const std::string& aName)
{
  const std::string text = Parameter(aTarget, aName);
  return text.empty() ? 0 : std::stoull(text);
}

} // namespace

Store::Store(const Address& aAddress)
  : address_(aAddress)
  , listener_(aAddress, [this](Connection& aConnection) { Serve(aConnection); })
{
}

void
Store::Serve(Connection& aConnection)
{
  while (auto request = aConnection.ReadMessage(false)) {
    if (!aConnection.Send(Answer(*request))) {
      return;
    }
  }
}

/// Needs the lock.
std::string
Store::Respond(int aStatus, const json& aBody) const
{
  std::string body = aBody.dump();
  for (const auto& [mark, text] : texts_) {
    for (size_t at = body.find(mark); at != std::string::npos; at = body.find(mark, at + text.size())) {
      body.replace(at, mark.size(), text);
    }
  }
  return FormatResponse(aStatus, { { "Content-Type", "application/json" } }, body);
}

std::string
Store::Answer(const Message& aRequest)
{
  calls_++;
  const std::string target = aRequest.Target();
  const std::string path = target.substr(0, target.find('?'));
  if (!path.starts_with(kRoot)) {
    const std::lock_guard lock(mutex_);
    return Respond(404, json::object());
  }
  const std::string rest = path.substr(kRoot.size());
  const std::string kind = rest.substr(0, rest.find('/'));
  const std::string name = rest.size() > kind.size() ? rest.substr(kind.size() + 1) : "";
  if (aRequest.Method() != "GET") {
    return Write(aRequest, kind, name, NumberParameter(target, "revision"));
  }
  if (!Parameter(target, "watch").empty()) {
    constexpr double kMillisPerSecond = 1000;
    return Watch(kind,
                 NumberParameter(target, "watch"),
                 static_cast<double>(NumberParameter(target, "waitMs")) / kMillisPerSecond);
  }
  if (name.empty()) {
    return List(kind, Parameter(target, "after"));
  }
  const std::lock_guard lock(mutex_);
  const auto& objects = objects_[kind];
  const auto found = objects.find(name);
  return found == objects.end() ? Respond(404, json::object()) : Respond(200, found->second);
}

std::string
Store::List(const std::string& aKind, const std::string& aAfter)
{
  constexpr size_t kPageSize = 500;
  const std::lock_guard lock(mutex_);
  const auto& objects = objects_[aKind];
  auto next = aAfter.empty() ? objects.begin() : objects.upper_bound(aAfter);
  json items = json::array();
  for (; next != objects.end() && items.size() < kPageSize; ++next) {
    items.push_back(next->second);
  }
  return Respond(200, { { "items", items }, { "hasMore", next != objects.end() }, { "asOf", revision_ } });
}

json
Store::EventsAfter(const std::string& aKind, uint64_t aFrom) const
{
  json events = json::array();
  for (const Change& change : history_) {
    if (change.revision_ > aFrom && change.kind_ == aKind) {
      events.push_back({ { "object", change.object_ }, { "deleted", change.deleted_ } });
    }
  }
  return events;
}

std::string
Store::Watch(const std::string& aKind, uint64_t aFrom, double aWait)
{
  std::unique_lock lock(mutex_);
  json events;
  changed_.wait_for(lock, std::chrono::duration<double>(aWait), [&] {
    events = EventsAfter(aKind, aFrom);
    return !events.empty();
  });
  return Respond(200, { { "events", events }, { "asOf", revision_ } });
}

std::string
Store::Write(const Message& aRequest, const std::string& aKind, std::string aName, uint64_t aRevision)
{
  const json body = json::parse(aRequest.body_, nullptr, false);
  const json meta = body.is_object() ? body.value("meta", json::object()) : json::object();
  const std::string method = aRequest.Method();
  if (aName.empty()) {
    aName = meta.value("name", "");
  }
  const uint64_t condition = aRevision > 0 ? aRevision : meta.value("revision", uint64_t{ 0 });
  const std::lock_guard lock(mutex_);
  auto& objects = objects_[aKind];
  const auto found = objects.find(aName);
  const bool exists = found != objects.end();
  if (method == "POST" ? exists : exists && condition > 0 && found->second["meta"]["revision"] != condition) {
    return Respond(409, found->second);
  }
  if (method != "POST" && !exists) {
    return Respond(404, json::object());
  }
  if (method == "DELETE") {
    DeleteLocked(aKind, aName);
    return Respond(200, json::object());
  }
  PutLocked(aKind, aName, body.value("spec", json()));
  return Respond(200, objects[aName]);
}

void
Store::PutLocked(const std::string& aKind, const std::string& aName, const json& aSpec)
{
  json& object = objects_[aKind][aName];
  if (!object.is_null() && object["spec"] == aSpec) {
    return;
  }
  const uint64_t created = object.is_null() ? revision_ + 1 : object["meta"]["createRevision"].get<uint64_t>();
  object = { { "meta",
               { { "name", aName },
                 { "revision", ++revision_ },
                 { "createRevision", created },
                 { "finalizers", json::array() },
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

void
Store::Put(const std::string& aKind, const std::string& aName, const json& aSpec)
{
  const std::lock_guard lock(mutex_);
  PutLocked(aKind, aName, aSpec);
}

void
Store::Delete(const std::string& aKind, const std::string& aName)
{
  const std::lock_guard lock(mutex_);
  DeleteLocked(aKind, aName);
}

void
Store::PutText(const std::string& aKind, const std::string& aName, const std::string& aSpec)
{
  const std::lock_guard lock(mutex_);
  const std::string mark = "text of " + aName;
  texts_['"' + mark + '"'] = aSpec;
  PutLocked(aKind, aName, mark);
}

} // namespace review
