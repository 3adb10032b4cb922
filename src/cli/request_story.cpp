#include "cli/request_story.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace ibisrock::cli {

namespace {

/// Events that change what an instance believes, and the subject that the latest of them decides.
constexpr std::array<std::pair<std::string_view, const char*>, 7> kBeliefs{ {
  { "started", "process" },
  { "settings_reloaded", "settings" },
  { "configuration_in_force", "configuration" },
  { "targets_listed", "targets" },
  { "store_lost", "store" },
  { "store_regained", "store" },
  { "store_era_began", "store era" },
} };

std::string
Seconds(double aTime)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", aTime);
  return text;
}

std::string
DescribeAttempt(const LogLine& aLine)
{
  return "attempt at target " + aLine.Field("target") + " of pool " + aLine.Field("pool") +
         (aLine.Field("extra") == "yes" ? " (hedge or retry)" : "") + " failed: " + aLine.Field("reason") +
         ", status " + aLine.Field("status") + ", after " + aLine.Field("took") + ", " + aLine.Field("verdict") +
         "; calls in flight " + aLine.Field("in_flight") + ", slowness " + aLine.Field("slowness");
}

std::string
DescribeWait(const LogLine& aLine)
{
  return "given up: pool " + aLine.Field("pool") + " with " + aLine.Field("waiting") + " waiting calls replies after " +
         aLine.Field("expected") + ", left are " + aLine.Field("left") + "; pools in time " +
         aLine.Field("pools_in_time") + " of " + aLine.Field("pools_needed") + " needed";
}

std::string
DescribeEnd(const LogLine& aLine)
{
  std::string text = "answered with " + aLine.Field("status") + " after " + aLine.Field("took");
  if (!aLine.Field("time_left").empty()) {
    text += " of " + aLine.Field("time_left");
  }
  text += ", " + aLine.Field("verdict") + ", reason " + aLine.Field("reason") + ", route " + aLine.Field("route") +
          " of configuration " + aLine.Field("config") + "; shards " + aLine.Field("shards") + ", missing " +
          aLine.Field("missing") + ", attempts " + aLine.Field("attempts") + ", of them extra " + aLine.Field("extra");
  if (!aLine.Field("missing_pools").empty()) {
    text += "; without a reply: " + aLine.Field("missing_pools");
  }
  if (!aLine.Field("retry_after").empty()) {
    text += "; told to return after " + aLine.Field("retry_after");
  }
  return text;
}

std::string
DescribeRefusal(const LogLine& aLine)
{
  return "refused with " + aLine.Field("status") + " before any target was asked: " + aLine.Field("reason") +
         ", host " + aLine.Field("host") + ", configuration " + aLine.Field("config");
}

std::string
DescribeCallerLeft(const LogLine& aLine)
{
  return "the caller left after " + aLine.Field("after");
}

std::string
DescribeNotice(const LogLine& aLine)
{
  std::string text = "target " + aLine.Field("target") + " said beside its answer";
  const bool isLeaving = aLine.Field("leaving") == "yes";
  text += isLeaving ? " that it leaves" : "";
  if (!aLine.Field("pause").empty()) {
    text += std::string(isLeaving ? " and" : "") + " that it wants nothing for " + aLine.Field("pause");
  }
  return text;
}

struct Description
{
  std::string_view event_;
  std::string (*describe_)(const LogLine&);
};

constexpr std::array<Description, 6> kDescriptions{ {
  { "attempt_failed", &DescribeAttempt },
  { "hopeless_wait", &DescribeWait },
  { "ended", &DescribeEnd },
  { "refused", &DescribeRefusal },
  { "caller_left", &DescribeCallerLeft },
  { "target_notice", &DescribeNotice },
} };

std::string
Describe(const LogLine& aLine)
{
  for (const Description& description : kDescriptions) {
    if (description.event_ == aLine.event_) {
      return description.describe_(aLine);
    }
  }
  return aLine.event_;
}

/// All fields but those that every line has.
std::string
DescribeBelief(const LogLine& aLine)
{
  std::string text = aLine.event_;
  for (const auto& [name, value] : aLine.fields_) {
    if (name != "t" && name != "level" && name != "instance" && name != "part" && name != "event") {
      text.append(" ").append(name).append("=").append(value);
    }
  }
  return text;
}

uint64_t
Number(const std::string& aText)
{
  uint64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

} // namespace

RequestStory::RequestStory(std::string aRequest)
  : request_(std::move(aRequest))
{
}

void
RequestStory::Read(std::istream& aLog)
{
  std::string text;
  while (std::getline(aLog, text)) {
    if (auto line = ParseLogLine(text)) {
      Take(std::move(*line));
    }
  }
}

void
RequestStory::Take(LogLine aLine)
{
  lines_++;
  leftOut_ += aLine.leftOut_;
  if (aLine.event_ == "lines_dropped") {
    leftOut_ += Number(aLine.Field("count"));
  }
  Beliefs& beliefs = beliefs_[aLine.instance_];
  for (const auto& [event, subject] : kBeliefs) {
    if (event == aLine.event_) {
      beliefs.insert_or_assign(subject, aLine);
      return;
    }
  }
  if (aLine.Field("request") != request_) {
    return;
  }
  Part& part = parts_[aLine.instance_];
  if (part.lines_.empty()) {
    part.beliefs_ = beliefs;
  }
  part.lines_.push_back(std::move(aLine));
}

std::vector<std::string>
RequestStory::Lines() const
{
  std::vector<std::string> lines;
  for (const auto& [instance, part] : parts_) {
    lines.push_back("instance " + instance);
    const double begin = part.lines_.front().time_;
    for (const auto& [subject, line] : part.beliefs_) {
      lines.push_back("  knew since " + Seconds(begin - line.time_) + " s: " + DescribeBelief(line));
    }
    for (const LogLine& line : part.lines_) {
      lines.push_back("  +" + Seconds(line.time_ - begin) + " s " + Describe(line));
    }
  }
  return lines;
}

} // namespace ibisrock::cli
