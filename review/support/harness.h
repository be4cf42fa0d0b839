// Starts a small deployment of real processes and speaks raw HTTP to it. For
// the cases of the review; no dependency beyond POSIX. Not thread-safe unless
// a comment says otherwise.
#ifndef CACTUSWARD_REVIEW_SUPPORT_HARNESS_H_
#define CACTUSWARD_REVIEW_SUPPORT_HARNESS_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

// Whether the case runs with its disruption: not with TROUBLE=0.
bool HasTrouble();

// The file record.txt of a case. Thread-safe.
class record {
 public:
  explicit record(const std::string& folder);
  // Writes a line with the milliseconds since the start, also to the output.
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  std::chrono::steady_clock::time_point started_at_;
};

struct http_reply {
  int status = 0;  // 0: no complete head arrived
  std::string head;
  std::string body;
  bool complete = false;  // the whole body arrived
};

// A connection to 127.0.0.1. Thread-safe across different objects.
class client_connection {
 public:
  explicit client_connection(int port);
  ~client_connection();
  client_connection(const client_connection&) = delete;
  client_connection& operator=(const client_connection&) = delete;

  bool is_open() const { return handle_ >= 0; }
  bool Send(const std::string& bytes) const;
  // Reads the next response: one with a length or chunks.
  http_reply Read(int timeout_ms);

 private:
  int handle_ = -1;
  std::string unread_;
};

// One request on a connection of its own. Thread-safe.
http_reply Call(int port, const std::string& bytes, int timeout_ms);
std::string GetRequest(const std::string& path);
std::string PostRequest(const std::string& path, const std::string& body);

// A route of a configuration document, as JSON.
std::string RouteJson(const std::string& name,
                      const std::string& kind,
                      const std::string& service);

struct instance {
  std::string name;
  pid_t pid = -1;
  int port = 0;            // of callers
  int readiness_port = 0;  // of the load balancer
  std::string settings;    // path of the file
};

struct runner {
  std::string id;
  pid_t pid = -1;
  int port = 0;
  std::string runs_file;  // a line "ID TIME" for each request that it ran
};

struct runner_request {
  std::string id;    // X-Attempt-Id
  std::string head;  // of the request
  std::string body;
};

// Sends a part of an answer. @return whether the connection is still open.
using answer_writer = std::function<bool(const std::string&)>;

// A runner of this process, for answers that platform_standin does not give.
// Answers each connection's requests one after the other.
class scripted_runner {
 public:
  // Returns whether the connection stays open after the answer.
  using handler = std::function<bool(const runner_request&, answer_writer)>;
  // @param answer called by several threads.
  scripted_runner(std::string id, int port, handler answer);
  ~scripted_runner();
  scripted_runner(const scripted_runner&) = delete;
  scripted_runner& operator=(const scripted_runner&) = delete;

  const std::string& id() const { return id_; }
  int port() const { return port_; }

 private:
  void Accept();
  void Serve(int handle);

  std::string id_;
  int port_;
  handler answer_;
  int listener_ = -1;
  std::thread acceptor_;
  std::vector<int> handles_;
  std::vector<std::thread> servers_;
};

// The value of a field in the head of a message, by its lower-case name; empty
// without it.
std::string FieldOf(const std::string& head, const std::string& name);

// A store, runners of one service and instances, as child processes that are
// ended with the object.
class deployment {
 public:
  // @param program_folder has cactuswardd and platform_standin.
  deployment(std::string program_folder, record* log);
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  // Starts everything; with `run_time_ms` 0 only the runners that were added.
  // @return whether all instances become ready in time.
  bool Start(int instance_count,
             int runner_count,
             int run_time_ms,
             const std::string& routes);
  // Lists a runner of this process in the store. Call before Start.
  void AddRunner(const std::string& id, int port);
  // The service gets the parameters of engines. Call before Start.
  void UseEngines();
  // The first of `count` free ports in a row.
  int FreePorts(int count);
  void StartInstance(instance* which);
  bool WaitReady(const instance& which, int timeout_ms) const;

  std::vector<instance>& instances() { return instances_; }
  const std::vector<runner>& runners() const { return runners_; }
  // The ids of the requests that runners ran, in order of the runners.
  std::vector<std::string> Runs() const;

 private:
  pid_t StartProcess(const std::vector<std::string>& words);
  void WriteSettings(const instance& which, int first_port) const;

  std::string program_folder_;
  record* log_;
  std::string folder_;  // temporary
  int next_port_ = 0;
  int store_port_ = 0;
  std::vector<int> first_ports_;  // of the instances
  std::vector<instance> instances_;
  std::vector<runner> runners_;
  std::map<std::string, int> added_runners_;  // ports by id
  std::string service_fields_;                // of the configuration
  std::vector<pid_t> children_;
};

// Ends a child process of this one with SIGKILL and waits for its end.
void KillChild(pid_t pid);

}  // namespace review

#endif  // CACTUSWARD_REVIEW_SUPPORT_HARNESS_H_
