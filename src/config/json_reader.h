// Reads fields from JSON and collects errors with the path of each field.
#ifndef CACTUSWARD_SRC_CONFIG_JSON_READER_H_
#define CACTUSWARD_SRC_CONFIG_JSON_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cactusward::internal {

// Validation errors of one document.
class validation_errors {
 public:
  void Add(const std::string& path,
           const std::string& found,
           const std::string& allowed);
  bool empty() const { return errors_.empty(); }
  // All errors, one per line.
  std::string ToString() const;

 private:
  std::vector<std::string> errors_;
};

// Reads one JSON object. Each field that is read is recorded as known;
// RejectUnknownFields reports the others.
class object_reader {
 public:
  // Precondition: `value` and `errors` outlive the reader.
  object_reader(const nlohmann::json& value,
                std::string path,
                validation_errors* errors);

  bool Has(std::string_view name);
  // The names of all fields, for an object whose fields are not known.
  std::vector<std::string> FieldNames() const;
  std::int64_t Integer(std::string_view name,
                       std::int64_t fallback,
                       std::int64_t min,
                       std::int64_t max);
  double Number(std::string_view name, double fallback, double min, double max);
  bool Boolean(std::string_view name, bool fallback);
  std::string String(std::string_view name,
                     std::string fallback,
                     std::size_t min_length = 0,
                     std::size_t max_length = 1024);
  // A required string of at least `min_length` bytes.
  std::string RequiredString(std::string_view name, std::size_t min_length = 1);
  // One of `choices`.
  std::string Choice(std::string_view name,
                     std::string fallback,
                     const std::vector<std::string>& choices);
  // The child object, or an empty object if it is absent.
  object_reader Object(std::string_view name);
  // The elements of an array of objects.
  std::vector<object_reader> Array(std::string_view name);
  // The elements of an array of strings.
  std::vector<std::string> StringArray(std::string_view name);

  // Adds an error for each field that was never read.
  void RejectUnknownFields();
  void AddError(std::string_view name,
                const std::string& found,
                const std::string& allowed);
  const std::string& path() const { return path_; }

 private:
  const nlohmann::json* Find(std::string_view name);
  std::string FieldPath(std::string_view name) const;

  const nlohmann::json* value_;
  std::string path_;
  validation_errors* errors_;
  std::set<std::string, std::less<>> read_fields_;
};

}  // namespace cactusward::internal

#endif  // CACTUSWARD_SRC_CONFIG_JSON_READER_H_
