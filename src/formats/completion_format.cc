#include "src/formats/completion_format.h"

#include "src/edges/json.h"

namespace cactusward {
namespace {

using nlohmann::json;

constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kMaxEventBytes = 1024ULL * 1024;
constexpr int kDefaultMaxTokens = 256;
constexpr std::string_view kDone = "[DONE]";

result<completion_parameters> BadRequest(std::string detail) {
  return {error_kind::kBadRequest, std::move(detail)};
}

// Size of the prompt in bytes, or nullopt when it is not text.
std::optional<std::size_t> PromptBytes(const json& body, bool chat) {
  if (!chat) {
    const auto prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string())
      return std::nullopt;
    return prompt->get_ref<const std::string&>().size();
  }
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty())
    return std::nullopt;
  std::size_t bytes = 0;
  for (const json& message : *messages) {
    if (!message.is_object() || !message.contains("content") ||
        !message["content"].is_string())
      return std::nullopt;
    bytes += message["content"].get_ref<const std::string&>().size();
  }
  return bytes;
}

std::string StringField(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>()
                                               : std::string();
}

std::int64_t IntegerField(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_number_integer() ? it->get<std::int64_t>()
                                                       : 0;
}

std::string_view ObjectName(bool chat, bool chunk) {
  if (!chat)
    return "text_completion";
  return chunk ? "chat.completion.chunk" : "chat.completion";
}

json Usage(std::int64_t prompt_tokens, std::int64_t completion_tokens) {
  return {{"prompt_tokens", prompt_tokens},
          {"completion_tokens", completion_tokens},
          {"total_tokens", prompt_tokens + completion_tokens}};
}

}  // namespace

std::int64_t EstimateTokens(std::size_t bytes) {
  return static_cast<std::int64_t>((bytes + kBytesPerToken - 1) /
                                   kBytesPerToken);
}

result<completion_parameters> ParseCompletion(std::string_view body,
                                              bool chat) {
  auto parsed = ParseJson(body);
  if (!parsed || !parsed->is_object())
    return BadRequest("the body is not a JSON object in UTF-8");
  completion_parameters parameters;
  parameters.chat = chat;
  parameters.model = StringField(*parsed, "model");
  if (parameters.model.empty())
    return BadRequest("model: a text is required");
  const auto bytes = PromptBytes(*parsed, chat);
  if (!bytes)
    return BadRequest(chat
                          ? "messages: a list of messages with text is required"
                          : "prompt: a text is required");
  parameters.prompt_tokens = EstimateTokens(*bytes);
  parameters.max_tokens = kDefaultMaxTokens;
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    const auto it = parsed->find(name);
    if (it == parsed->end())
      continue;
    if (!it->is_number_integer() || it->get<std::int64_t>() < 1 ||
        it->get<std::int64_t>() > INT32_MAX)
      return BadRequest(std::string(name) + ": a positive integer is required");
    parameters.max_tokens = it->get<int>();
  }
  const auto n = parsed->find("n");
  if (n != parsed->end() && *n != 1)
    return BadRequest("n: only 1 is supported");
  const auto stream = parsed->find("stream");
  if (stream != parsed->end() && !stream->is_boolean())
    return BadRequest("stream: true or false is required");
  parameters.stream = stream != parsed->end() && stream->get<bool>();
  const auto options = parsed->find("stream_options");
  if (options != parsed->end() && options->is_object())
    parameters.include_usage = options->value("include_usage", json()) == true;
  parameters.body = std::move(*parsed);
  return parameters;
}

std::string EngineBody(const completion_parameters& parameters,
                       int priority,
                       bool send_priority,
                       const std::string& text_so_far,
                       int tokens_so_far) {
  json body = parameters.body;
  body["stream"] = true;
  body["stream_options"] = {{"include_usage", true}};
  body["max_tokens"] = parameters.max_tokens - tokens_so_far;
  body.erase("max_completion_tokens");
  if (send_priority)
    body["priority"] = priority;
  else
    body.erase("priority");
  if (!text_so_far.empty()) {
    if (parameters.chat) {
      body["messages"].push_back(
          {{"role", "assistant"}, {"content", text_so_far}});
      body["continue_final_message"] = true;
      body["add_generation_prompt"] = false;
    } else {
      body["prompt"] =
          body["prompt"].get_ref<const std::string&>() + text_so_far;
    }
  }
  return WriteJson(body);
}

bool event_splitter::Feed(std::string_view bytes,
                          std::vector<std::string>* out) {
  for (char c : bytes) {
    if (c != '\r')
      buffer_.push_back(c);
  }
  std::size_t begin = 0;
  std::size_t end;
  while ((end = buffer_.find("\n\n", begin)) != std::string::npos) {
    std::string data;
    std::string_view event(buffer_.data() + begin, end - begin);
    while (!event.empty()) {
      const std::size_t line_end = std::min(event.find('\n'), event.size());
      std::string_view line = event.substr(0, line_end);
      if (line.substr(0, 5) == "data:") {
        line.remove_prefix(5);
        if (!line.empty() && line.front() == ' ')
          line.remove_prefix(1);
        data.append(line);
      }
      event.remove_prefix(std::min(line_end + 1, event.size()));
    }
    if (!data.empty())
      out->push_back(std::move(data));
    begin = end + 2;
  }
  buffer_.erase(0, begin);
  return buffer_.size() <= kMaxEventBytes;
}

completion_event ParseEvent(std::string_view data, bool chat) {
  completion_event event;
  if (data == kDone) {
    event.kind = event_kind::kDone;
    return event;
  }
  const auto parsed = ParseJson(data);
  if (!parsed || !parsed->is_object())
    return event;
  if (parsed->contains("error")) {
    event.kind = event_kind::kError;
    return event;
  }
  event.id = StringField(*parsed, "id");
  const auto choices = parsed->find("choices");
  if (choices == parsed->end() || !choices->is_array())
    return event;
  if (choices->empty()) {
    const auto usage = parsed->find("usage");
    if (usage == parsed->end() || !usage->is_object())
      return event;
    event.kind = event_kind::kUsage;
    event.completion_tokens = IntegerField(*usage, "completion_tokens");
    event.prompt_tokens = IntegerField(*usage, "prompt_tokens");
    return event;
  }
  const json& choice = choices->front();
  if (!choice.is_object())
    return event;
  event.kind = event_kind::kToken;
  event.finish_reason = StringField(choice, "finish_reason");
  if (!chat) {
    event.text = StringField(choice, "text");
  } else if (choice.contains("delta") && choice["delta"].is_object()) {
    event.text = StringField(choice["delta"], "content");
  }
  return event;
}

std::string CompletionBody(const completion_parameters& parameters,
                           const std::string& id,
                           const std::string& text,
                           const std::string& finish_reason,
                           std::int64_t prompt_tokens,
                           std::int64_t completion_tokens) {
  json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (parameters.chat)
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  else
    choice["text"] = text;
  return WriteJson({{"id", id},
                    {"object", ObjectName(parameters.chat, false)},
                    {"model", parameters.model},
                    {"choices", json::array({std::move(choice)})},
                    {"usage", Usage(prompt_tokens, completion_tokens)}});
}

std::string FinishEvent(const completion_parameters& parameters,
                        const std::string& id,
                        const std::string& finish_reason) {
  json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (parameters.chat)
    choice["delta"] = json::object();
  else
    choice["text"] = "";
  return WriteJson({{"id", id},
                    {"object", ObjectName(parameters.chat, true)},
                    {"model", parameters.model},
                    {"choices", json::array({std::move(choice)})}});
}

std::string UsageEvent(const completion_parameters& parameters,
                       const std::string& id,
                       std::int64_t prompt_tokens,
                       std::int64_t completion_tokens) {
  return WriteJson({{"id", id},
                    {"object", ObjectName(parameters.chat, true)},
                    {"model", parameters.model},
                    {"choices", json::array()},
                    {"usage", Usage(prompt_tokens, completion_tokens)}});
}

}  // namespace cactusward
