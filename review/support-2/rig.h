// Stand-ins for the cases of this review: the platform's store, runners,
// clients, and the start of instances with the command of the deploy file.
// Blocking sockets and a thread for each connection.
#ifndef CACTUSWARD_REVIEW_SUPPORT_2_RIG_H_
#define CACTUSWARD_REVIEW_SUPPORT_2_RIG_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using json = nlohmann::json;

// ---- time and the record ----

inline std::int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

inline std::ofstream& RecordFile() {
  static std::ofstream file;
  return file;
}

inline void Record(const char* format, ...) {
  static std::mutex mutex;
  char text[2048];
  va_list args;
  va_start(args, format);
  std::vsnprintf(text, sizeof(text), format, args);
  va_end(args);
  const std::lock_guard<std::mutex> lock(mutex);
  RecordFile() << NowMs() << " " << text << std::endl;
}

[[noreturn]] inline void Exit(int code);

// ---- sockets ----

struct address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const address& at) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(at.port));
  inet_pton(AF_INET, at.ip.c_str(), &out.sin_addr);
  return out;
}

inline bool TryBind(const address& at, int type) {
  const int fd = socket(AF_INET, type, 0);
  const int yes = 1;
  if (type == SOCK_STREAM)
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  const sockaddr_in to = ToSockaddr(at);
  const bool bound =
      bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0;
  close(fd);
  return bound;
}

// A port that is free at all of `ips`, for TCP and UDP. Below the ports of
// outgoing connections.
inline int FreePort(const std::vector<std::string>& ips) {
  static int next = 12'000 + (getpid() % 1'500) * 12;
  for (int i = 0; i < 18'000; ++i) {
    const int port = 12'000 + (next++ - 12'000) % 18'000;
    const bool is_free =
        std::all_of(ips.begin(), ips.end(), [port](const std::string& ip) {
          return TryBind({ip, port}, SOCK_STREAM) &&
                 TryBind({ip, port}, SOCK_DGRAM);
        });
    if (is_free)
      return port;
  }
  return 0;
}

inline void SetTimeout(int fd, int ms) {
  const timeval time{ms / 1000, (ms % 1000) * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
}

inline int Connect(const address& to, int timeout_ms = 2'000) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  SetTimeout(fd, timeout_ms);
  const int yes = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  const sockaddr_in at = ToSockaddr(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// ---- HTTP ----

struct message {
  std::string start;  // the request line or the status line
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  bool complete = false;

  std::string Field(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0)
        return value;
    }
    return {};
  }
  std::string Method() const { return start.substr(0, start.find(' ')); }
  std::string Target() const {
    const auto from = start.find(' ') + 1;
    return start.substr(from, start.find(' ', from) - from);
  }
  int Status() const {
    return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
  }
};

// Reads messages from a connection; keeps what follows one.
class reader {
 public:
  explicit reader(int fd) : fd_(fd) {}

  bool Fill() {
    char bytes[16 * 1024];
    const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      ended_ = n == 0;
      error_ = n < 0 ? errno : 0;
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
  bool ReadHead(message* out) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill())
        return false;
    }
    std::string head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    std::size_t line = head.find("\r\n");
    out->start = head.substr(0, line);
    while ((line += 2) < head.size()) {
      const std::size_t next = head.find("\r\n", line);
      const std::string text = head.substr(line, next - line);
      const std::size_t colon = text.find(':');
      const std::size_t value = text.find_first_not_of(" \t", colon + 1);
      out->fields.emplace_back(text.substr(0, colon), value == std::string::npos
                                                          ? std::string()
                                                          : text.substr(value));
      line = next;
    }
    return true;
  }
  bool ReadBytes(std::size_t size, std::string* out) {
    while (buffer_.size() < size) {
      if (!Fill())
        return false;
    }
    out->append(buffer_, 0, size);
    buffer_.erase(0, size);
    return true;
  }
  bool ReadLine(std::string* out) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      if (!Fill())
        return false;
    }
    *out = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return true;
  }
  // Reads a body with a length or in chunks. A message without either has none
  // unless `until_end`.
  bool ReadBody(message* out, bool until_end) {
    const std::string length = out->Field("Content-Length");
    if (!length.empty())
      return out->complete = ReadBytes(std::stoul(length), &out->body);
    if (out->Field("Transfer-Encoding") == "chunked") {
      while (true) {
        std::string line;
        if (!ReadLine(&line))
          return false;
        const std::size_t size = std::stoul(line, nullptr, 16);
        if (size > 0 && !ReadBytes(size, &out->body))
          return false;
        if (!ReadLine(&line))
          return false;
        if (size == 0)
          return out->complete = true;
      }
    }
    if (until_end) {
      while (Fill()) {
      }
      out->body += buffer_;
      buffer_.clear();
      return out->complete = ended_;
    }
    return out->complete = true;
  }
  bool ended() const { return ended_; }
  int error() const { return error_; }
  const std::string& rest() const { return buffer_; }

 private:
  int fd_;
  std::string buffer_;
  bool ended_ = false;
  int error_ = 0;
};

inline std::string MakeResponse(
    const std::string& status,
    const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body) {
  std::string text = "HTTP/1.1 " + status + "\r\n";
  for (const auto& [name, value] : fields)
    text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// ---- a server whose process can "crash" ----

class server {
 public:
  // Handles one request; returns whether the connection stays open.
  using handler = std::function<bool(int fd, const message& request)>;

  server(address at, handler handle)
      : at_(std::move(at)), handle_(std::move(handle)) {}

  bool Start() {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const sockaddr_in to = ToSockaddr(at_);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0 ||
        listen(fd, 512) != 0) {
      close(fd);
      return false;
    }
    listener_ = fd;
    std::thread([this, fd] { Accept(fd); }).detach();
    return true;
  }
  // As the kernel does when the process ends: the port refuses connections and
  // all open connections are closed.
  void Crash() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const int fd = listener_.exchange(-1);
    if (fd >= 0) {
      shutdown(fd, SHUT_RDWR);
      close(fd);
    }
    for (const int open : open_)
      shutdown(open, SHUT_RDWR);
  }
  bool running() const { return listener_ >= 0; }
  const address& at() const { return at_; }

 private:
  void Accept(int listener) {
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      const int yes = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        open_.insert(fd);
      }
      std::thread([this, fd] {
        reader in(fd);
        while (true) {
          message request;
          if (!in.ReadHead(&request) || !in.ReadBody(&request, false) ||
              !handle_(fd, request))
            break;
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        open_.erase(fd);
        close(fd);
      }).detach();
    }
  }

  address at_;
  handler handle_;
  std::mutex mutex_;
  std::atomic<int> listener_{-1};
  std::set<int> open_;
};

// ---- the platform's store ----

inline std::string Base64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t k = 0; k < 3; ++k)
      group = group << 8 |
              (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                    : 0U);
    for (std::size_t k = 0; k < 4; ++k)
      out += i + k > bytes.size() ? '=' : kDigits[group >> (18 - 6 * k) & 63U];
  }
  return out;
}

inline std::string QueryValue(const std::string& target,
                              const std::string& name) {
  const auto at = target.find(name + "=");
  if (at == std::string::npos)
    return {};
  const auto from = at + name.size() + 1;
  std::string raw = target.substr(from, target.find('&', from) - from);
  std::string value;
  for (std::size_t i = 0; i < raw.size(); ++i) {
    if (raw[i] == '%' && i + 2 < raw.size()) {
      value += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      value += raw[i];
    }
  }
  return value;
}

class store {
 public:
  explicit store(const address& at)
      : server_(at, [this](int fd, const message& request) {
          return Handle(fd, request);
        }) {}
  bool Start() { return server_.Start(); }
  const address& at() const { return server_.at(); }

  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    items_[key] = {value, ++revision_, false};
    changed_.notify_all();
  }
  void Remove(const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    items_[key] = {"", ++revision_, true};
    changed_.notify_all();
  }

 private:
  struct item {
    std::string value;
    std::int64_t revision = 0;
    bool removed = false;
  };
  static json Encode(const std::string& key, const item& stored) {
    if (stored.removed)
      return {{"key", key}, {"revision", stored.revision}, {"compacted", true}};
    return {{"key", key},
            {"value", Base64(stored.value)},
            {"revision", stored.revision},
            {"created_revision", stored.revision},
            {"lease_id", 0}};
  }
  bool Respond(int fd, const json& body) {
    return SendAll(fd, MakeResponse("200 OK",
                                    {{"Content-Type", "application/json"},
                                     {"Store-Era", "1"}},
                                    body.dump()));
  }
  bool Handle(int fd, const message& request) {
    const std::string target = request.Target();
    const std::string path = target.substr(0, target.find('?'));
    const std::string prefix = QueryValue(target, "path_prefix");
    const std::string after = QueryValue(target, "after");
    std::unique_lock<std::mutex> lock(mutex_);
    if (path == "/kv-range") {
      json entries = json::array();
      for (const auto& [key, stored] : items_) {
        if (!stored.removed && key.compare(0, prefix.size(), prefix) == 0 &&
            (after.empty() || key > after))
          entries.push_back(Encode(key, stored));
      }
      const json body = {
          {"entries", entries}, {"has_more", false}, {"at", revision_}};
      lock.unlock();
      return Respond(fd, body);
    }
    if (path == "/kv-watch") {
      const std::int64_t from = std::stoll(after);
      const int wait_ms = std::stoi(QueryValue(target, "wait_ms"));
      const auto until =
          std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
      json events = json::array();
      while (true) {
        for (const auto& [key, stored] : items_) {
          if (stored.revision > from &&
              key.compare(0, prefix.size(), prefix) == 0)
            events.push_back(Encode(key, stored));
        }
        if (!events.empty() ||
            changed_.wait_until(lock, until) == std::cv_status::timeout)
          break;
      }
      std::sort(events.begin(), events.end(), [](const json& a, const json& b) {
        return a["revision"] < b["revision"];
      });
      const json body = {{"events", events}, {"at", revision_}};
      lock.unlock();
      return Respond(fd, body);
    }
    lock.unlock();
    return SendAll(fd, MakeResponse("404 Not Found", {{"Store-Era", "1"}}, ""));
  }

  server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::int64_t revision_ = 1;
};

// ---- instances ----

struct instance {
  std::string name, ip, zone;
  address frontend, readiness, metrics;
  std::string settings;
  std::string log;
  pid_t pid = -1;
};

class fleet {
 public:
  explicit fleet(int instances, const std::string& work) : work_(work) {
    std::vector<std::string> ips = {"127.0.0.1"};
    const int net = 20 + getpid() % 200;
    for (int i = 0; i < instances; ++i)
      ips.push_back("127." + std::to_string(net) + ".1." +
                    std::to_string(10 + i));
    store_ = std::make_unique<store>(address{"127.0.0.1", FreePort(ips)});
    const int front = FreePort(ips), ready = FreePort(ips),
              metrics = FreePort(ips), peers = FreePort(ips),
              tunnels = FreePort(ips);
    for (int i = 0; i < instances; ++i) {
      instance next;
      next.ip = ips[static_cast<std::size_t>(i) + 1];
      next.name = "edge-" + std::to_string(i + 1);
      next.zone = "zone-" + std::to_string(i % 3 + 1);
      next.frontend = {next.ip, front};
      next.readiness = {next.ip, ready};
      next.metrics = {next.ip, metrics};
      next.settings = work + "/" + next.name + ".json";
      next.log = work + "/" + next.name + ".log";
      instances_.push_back(next);
    }
    // As platform/settings.json.template renders them.
    json seeds = json::array();
    for (std::size_t i = 0; i < instances_.size() && i < 3; ++i)
      seeds.push_back(instances_[i].ip + ":1");
    for (const instance& each : instances_) {
      const json settings = {
          {"instance", each.name + "@" + each.ip},
          {"availability_zone", each.zone},
          {"region", "region-1"},
          {"zones",
           {{"zone-1", "region-1"},
            {"zone-2", "region-1"},
            {"zone-3", "region-1"}}},
          {"listen", each.frontend.Text()},
          {"peer_listen", each.ip + ":" + std::to_string(peers)},
          {"tunnel_listen", each.ip + ":" + std::to_string(tunnels)},
          {"seed_hosts", seeds},
          {"drain_grace_ms", 2200},
          {"drain_limit_ms", 8e3},
          {"forwarding",
           {{"protocol", "platform"},
            {"readiness_listen", each.readiness.Text()},
            {"metrics_listen", each.metrics.Text()},
            {"registry", store_->at().Text()},
            {"retry_ratio", 0.2},
            {"retry_extra", 102},
            {"retry_window_s", 10},
            {"zone_preference_ms", 20},
            {"max_reservation_ms", 20000}}},
          {"caller_limits", {{"memory_mb", 260}}},
          {"secrets", {{"peers", "shared-by-all-instances-of-region-1"}}}};
      std::ofstream(each.settings) << settings.dump(2);
    }
  }

  store& registry() { return *store_; }
  std::vector<instance>& instances() { return instances_; }

  bool StartStore() { return store_->Start(); }
  bool Start(instance* each) {
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log =
          open(each->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      const std::string settings = "--settings=" + each->settings;
      execl("target/cactuswardd", "target/cactuswardd", settings.c_str(),
            static_cast<char*>(nullptr));
      _exit(127);
    }
    each->pid = pid;
    Record("start %s pid %d", each->name.c_str(), pid);
    return pid > 0;
  }
  bool StartAll() {
    for (instance& each : instances_) {
      if (!Start(&each))
        return false;
    }
    return true;
  }
  // Sends SIGKILL to the instances that still run, and waits for them.
  void End() {
    for (instance& each : instances_) {
      if (each.pid <= 0)
        continue;
      int status = 0;
      if (waitpid(each.pid, &status, WNOHANG) == each.pid)
        Record("%s had ended by itself, status %d", each.name.c_str(), status);
      else {
        kill(each.pid, SIGKILL);
        waitpid(each.pid, &status, 0);
      }
      each.pid = -1;
    }
  }
  // Whether the process still runs.
  static bool Runs(const instance& each) {
    return each.pid > 0 && waitpid(each.pid, nullptr, WNOHANG) == 0;
  }
  static bool IsReady(const instance& each) {
    const int fd = Connect(each.readiness, 500);
    if (fd < 0)
      return false;
    message response;
    reader in(fd);
    const bool read = SendAll(fd, "GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n") &&
                      in.ReadHead(&response);
    close(fd);
    return read && response.Status() == 200;
  }
  bool AwaitReady(int limit_ms) {
    const std::int64_t until = NowMs() + limit_ms;
    while (NowMs() < until) {
      if (std::all_of(instances_.begin(), instances_.end(), IsReady))
        return true;
      SleepMs(100);
    }
    return false;
  }

 private:
  std::string work_;
  std::unique_ptr<store> store_;
  std::vector<instance> instances_;
};

// ---- configuration, entries, clients ----

inline json Route(const std::string& name,
                  const std::string& kind,
                  const std::string& service,
                  bool resumable,
                  int max_attempts,
                  int timeout_ms,
                  int objective_ms,
                  int gap_ms) {
  json route = {{"name", name},
                {"host", "desk.example"},
                {"path_prefix", "/" + name + "/"},
                {"kind", kind},
                {"timeout_ms", timeout_ms},
                {"target_latency_ms", objective_ms},
                {"priority", 1},
                {"max_attempts", max_attempts},
                {"service", service}};
  if (kind == "streaming") {
    route["target_itl_ms"] = gap_ms;
    route["resumable"] = resumable;
    route["sticky"] = true;
  }
  return route;
}

inline json EngineBackend() {
  return {{"slots", 16},           {"kv_capacity", 315'000},
          {"stride", 51},          {"step_ms", 0.85},
          {"per_seq_ms", 0.00425}, {"context_per_k", 0.00285},
          {"read_per_s", 177'000}, {"pairs_per_m", 0.184}};
}

inline json Config(int version, const json& routes, const json& services) {
  return {
      {"version", version},
      {"routes", routes},
      {"services", services},
      {"limits",
       {{"max_header_bytes", 16'384},
        {"max_body_bytes", 4'194'304},
        {"header_timeout_ms", 3'000},
        {"idle_timeout_ms", 15'000}}},
      {"tenants",
       json::array({{{"name", "org"}, {"api_keys", json::array({"key-1"})}}})}};
}

inline json Entry(const std::string& service,
                  const address& at,
                  const std::string& zone,
                  int slots,
                  std::int64_t born,
                  int sequence = 1,
                  const std::string& state = "ready") {
  return {
      {"service", service}, {"address", at.Text()},   {"zone", zone},
      {"version", "1"},     {"slots", slots},         {"state", state},
      {"born", born},       {"cold_remaining_ms", 0}, {"sequence", sequence}};
}

inline std::string MakeRequest(
    const std::string& method,
    const std::string& target,
    const std::string& id,
    int deadline_ms,
    const std::vector<std::pair<std::string, std::string>>& fields = {},
    const std::string& body = {}) {
  std::string text = method + " " + target +
                     " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + id +
                     "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
                     "\r\nAuthorization: Token key-1\r\n";
  for (const auto& [name, value] : fields)
    text += name + ": " + value + "\r\n";
  if (method == "POST")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

// Sends one request on a new connection. @return the response; `complete` is
// false if it did not arrive whole.
inline message Call(const address& to,
                    const std::string& request,
                    int timeout_ms) {
  message response;
  const int fd = Connect(to, timeout_ms);
  if (fd < 0)
    return response;
  reader in(fd);
  if (SendAll(fd, request) && in.ReadHead(&response))
    in.ReadBody(&response, true);
  close(fd);
  return response;
}

// ---- the frame of a case ----

inline fleet*& TheFleet() {
  static fleet* current = nullptr;
  return current;
}

[[noreturn]] inline void Exit(int code) {
  if (TheFleet())
    TheFleet()->End();
  Record("exit %d", code);
  std::printf("exit %d (0 held, 1 broken, 2 could not run)\n", code);
  std::fflush(stdout);
  _exit(code);
}

// Opens the record and sets a limit of 118 s for the whole case.
inline void Begin(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc < 3) {
    std::fprintf(stderr, "usage: CASE RECORD WORK_FOLDER\n");
    _exit(2);
  }
  NowMs();
  RecordFile().open(argv[1], std::ios::trunc);
  Record("trouble %s", WithTrouble() ? "on" : "off");
  std::thread([] {
    SleepMs(118'000);
    Record("time limit");
    Exit(2);
  }).detach();
}

}  // namespace rig

#endif  // CACTUSWARD_REVIEW_SUPPORT_2_RIG_H_
