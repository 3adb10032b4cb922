#include "version/csv_rows.h"

#include <cxxtools/csvdeserializer.h>
#include <cxxtools/serializationinfo.h>
#include <exception>
#include <sstream>
#include <utility>

namespace ibisrock {

namespace {

constexpr char kNoQuote = '\0';

/// Byte range and number of line breaks of one record.
struct RecordExtent
{
  /// End of the content, excluding its line break.
  size_t end_ = 0;
  /// Start of the next record.
  size_t next_ = 0;
  size_t lineBreaks_ = 0;
  bool closed_ = true;
};

/// Length of the line break at aAt, or 0 if there is none. A single carriage return is a line break, as in cxxtools.
size_t
LineBreakLength(const std::string& aText, size_t aAt)
{
  if (aText[aAt] == '\r') {
    return aAt + 1 < aText.size() && aText[aAt + 1] == '\n' ? 2 : 1;
  }
  return aText[aAt] == '\n' ? 1 : 0;
}

/// Finds the end of the record at aBegin. As in cxxtools, a quoted field begins only with the first character of a
/// field.
RecordExtent
FindRecordExtent(const std::string& aText, size_t aBegin, bool aQuotesSpanLines)
{
  RecordExtent extent;
  char quote = kNoQuote;
  char justClosed = kNoQuote;
  bool atFieldStart = true;
  for (size_t at = aBegin; at < aText.size();) {
    const char current = aText[at];
    const size_t lineBreak = LineBreakLength(aText, at);
    if (lineBreak > 0) {
      extent.lineBreaks_++;
      if (quote == kNoQuote || !aQuotesSpanLines) {
        extent.end_ = at;
        extent.next_ = at + lineBreak;
        return extent;
      }
    } else if (quote != kNoQuote) {
      justClosed = current == quote ? quote : kNoQuote;
      quote = current == quote ? kNoQuote : quote;
    } else {
      // A doubled quote in a quoted field is treated as a closing quote followed by an opening quote.
      const bool opens = (atFieldStart && (current == '"' || current == '\'')) || current == justClosed;
      quote = opens ? current : kNoQuote;
      atFieldStart = current == ',';
      justClosed = kNoQuote;
    }
    at += lineBreak > 0 ? lineBreak : 1;
  }
  extent.end_ = extent.next_ = aText.size();
  extent.closed_ = quote == kNoQuote;
  return extent;
}

/// True for printable ASCII characters, tabs and line breaks. Others are rejected, because cxxtools silently stops
/// reading at malformed UTF-8.
bool
IsSupportedCharacter(char aCharacter)
{
  return (aCharacter >= ' ' && aCharacter <= '~') || aCharacter == '\t' || aCharacter == '\r' || aCharacter == '\n';
}

void
ParseRecord(const std::string& aText, CsvRecord& aRecord)
{
  for (const char character : aText) {
    if (!IsSupportedCharacter(character)) {
      aRecord.error_ = "the line contains a character that is not printable ASCII";
      return;
    }
  }
  try {
    std::istringstream in(aText);
    cxxtools::CsvDeserializer deserializer;
    deserializer.readTitle(false);
    deserializer.delimiter(',');
    deserializer.read(in);
    std::vector<CsvRow> rows;
    deserializer.deserialize(rows);
    if (rows.size() == 1) {
      aRecord.row_ = std::move(rows.front());
    } else if (!aText.empty()) {
      aRecord.error_ = "the line is not a single CSV record";
    }
  } catch (const std::exception& error) {
    aRecord.error_ = std::string("the line is not valid CSV: ") + error.what();
  }
}

} // namespace

std::vector<CsvRecord>
SplitCsvRecords(const std::string& aText)
{
  std::vector<CsvRecord> records;
  size_t line = 1;
  for (size_t begin = 0; begin < aText.size();) {
    CsvRecord record;
    record.line_ = line;
    RecordExtent extent = FindRecordExtent(aText, begin, true);
    if (extent.closed_) {
      ParseRecord(aText.substr(begin, extent.end_ - begin), record);
    } else {
      // Without a closing quote the field would span the rest of the text; only the first line is rejected instead.
      extent = FindRecordExtent(aText, begin, false);
      record.error_ = "a quoted field is not closed";
    }
    records.push_back(std::move(record));
    line += extent.lineBreaks_;
    begin = extent.next_;
  }
  return records;
}

} // namespace ibisrock
