#include "src/config/json_reader.h"

#include <algorithm>

namespace cactusward::internal {
namespace {

using nlohmann::json;
constexpr std::size_t kMaxAbbreviatedBytes = 60;

// Serialises a value for an error message, shortened to kMaxAbbreviatedBytes.
std::string Abbreviate(const json& value) {
  std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
  if (text.size() > kMaxAbbreviatedBytes)
    text = text.substr(0, kMaxAbbreviatedBytes) + "...";
  return text;
}

const json& EmptyObject() {
  static const json empty = json::object();
  return empty;
}

}  // namespace

void validation_errors::Add(const std::string& path,
                            const std::string& found,
                            const std::string& allowed) {
  errors_.push_back(path + ": found " + found + ", allowed: " + allowed);
}

std::string validation_errors::ToString() const {
  std::string text;
  for (const std::string& error : errors_) {
    if (!text.empty())
      text += '\n';
    text += error;
  }
  return text;
}

object_reader::object_reader(const json& value,
                             std::string path,
                             validation_errors* errors)
    : value_(&value), path_(std::move(path)), errors_(errors) {
  if (value.is_object())
    return;
  errors_->Add(path_.empty() ? "document" : path_, Abbreviate(value),
               "an object");
  value_ = &EmptyObject();
}

std::string object_reader::FieldPath(std::string_view name) const {
  if (path_.empty())
    return std::string(name);
  return path_ + "." + std::string(name);
}

std::vector<std::string> object_reader::FieldNames() const {
  std::vector<std::string> names;
  for (const auto& [name, value] : value_->items())
    names.push_back(name);
  return names;
}

const json* object_reader::Find(std::string_view name) {
  read_fields_.emplace(name);
  const auto it = value_->find(std::string(name));
  return it == value_->end() ? nullptr : &*it;
}

bool object_reader::Has(std::string_view name) {
  return Find(name) != nullptr;
}

void object_reader::AddError(std::string_view name,
                             const std::string& found,
                             const std::string& allowed) {
  errors_->Add(FieldPath(name), found, allowed);
}

std::int64_t object_reader::Integer(std::string_view name,
                                    std::int64_t fallback,
                                    std::int64_t min,
                                    std::int64_t max) {
  const json* found = Find(name);
  if (!found)
    return fallback;
  const bool fits =
      found->is_number_integer() &&
      !(found->is_number_unsigned() && found->get<std::uint64_t>() > INT64_MAX);
  if (fits && found->get<std::int64_t>() >= min &&
      found->get<std::int64_t>() <= max)
    return found->get<std::int64_t>();
  AddError(
      name, Abbreviate(*found),
      "an integer from " + std::to_string(min) + " to " + std::to_string(max));
  return fallback;
}

double object_reader::Number(std::string_view name,
                             double fallback,
                             double min,
                             double max) {
  const json* found = Find(name);
  if (!found)
    return fallback;
  if (found->is_number() && found->get<double>() >= min &&
      found->get<double>() <= max)
    return found->get<double>();
  AddError(name, Abbreviate(*found),
           "a number from " + json(min).dump() + " to " + json(max).dump());
  return fallback;
}

bool object_reader::Boolean(std::string_view name, bool fallback) {
  const json* found = Find(name);
  if (!found)
    return fallback;
  if (found->is_boolean())
    return found->get<bool>();
  AddError(name, Abbreviate(*found), "true or false");
  return fallback;
}

std::string object_reader::String(std::string_view name,
                                  std::string fallback,
                                  std::size_t min_length,
                                  std::size_t max_length) {
  const json* found = Find(name);
  if (!found)
    return fallback;
  if (found->is_string()) {
    const auto& text = found->get_ref<const std::string&>();
    if (text.size() >= min_length && text.size() <= max_length)
      return text;
  }
  AddError(name, Abbreviate(*found),
           "a text of " + std::to_string(min_length) + " to " +
               std::to_string(max_length) + " bytes");
  return fallback;
}

std::string object_reader::RequiredString(std::string_view name,
                                          std::size_t min_length) {
  if (!Has(name)) {
    AddError(name, "nothing",
             "a text of at least " + std::to_string(min_length) + " bytes");
    return {};
  }
  return String(name, {}, min_length);
}

std::string object_reader::Choice(std::string_view name,
                                  std::string fallback,
                                  const std::vector<std::string>& choices) {
  const json* found = Find(name);
  if (!found)
    return fallback;
  if (found->is_string() &&
      std::find(choices.begin(), choices.end(), found->get<std::string>()) !=
          choices.end())
    return found->get<std::string>();
  std::string allowed = "one of";
  for (const std::string& choice : choices)
    allowed += " " + choice;
  AddError(name, Abbreviate(*found), allowed);
  return fallback;
}

object_reader object_reader::Object(std::string_view name) {
  const json* found = Find(name);
  return {found ? *found : EmptyObject(), FieldPath(name), errors_};
}

std::vector<object_reader> object_reader::Array(std::string_view name) {
  std::vector<object_reader> readers;
  const json* found = Find(name);
  if (!found)
    return readers;
  if (!found->is_array()) {
    AddError(name, Abbreviate(*found), "an array");
    return readers;
  }
  for (std::size_t i = 0; i < found->size(); ++i)
    readers.emplace_back(
        (*found)[i], FieldPath(name) + "[" + std::to_string(i) + "]", errors_);
  return readers;
}

std::vector<std::string> object_reader::StringArray(std::string_view name) {
  std::vector<std::string> texts;
  const json* found = Find(name);
  if (!found)
    return texts;
  if (!found->is_array()) {
    AddError(name, Abbreviate(*found), "an array of texts");
    return texts;
  }
  for (const json& item : *found) {
    if (item.is_string())
      texts.push_back(item.get<std::string>());
    else
      AddError(name, Abbreviate(item), "a text");
  }
  return texts;
}

void object_reader::RejectUnknownFields() {
  for (const auto& [name, value] : value_->items()) {
    if (read_fields_.count(name) == 0)
      AddError(name, "an unknown field", "a field of this object");
  }
}

}  // namespace cactusward::internal
