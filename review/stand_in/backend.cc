#include "review/stand_in/backend.h"

#include <utility>

namespace review {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

std::string Chunk(const std::string& bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  constexpr size_t kBase = 16;
  std::string size;
  for (size_t rest = bytes.size(); rest > 0; rest /= kBase) {
    size.insert(size.begin(), kDigits[rest % kBase]);
  }
  return size + "\r\n" + bytes + "\r\n";
}

bool HasPart(const std::string& prompt, const std::string& part) {
  return !part.empty() &&
         ("," + prompt).find("," + part + ":") != std::string::npos;
}

}  // namespace

Backend::Backend(const Options& options, Record& record)
    : options_(options),
      record_(record),
      random_(static_cast<uint32_t>(std::hash<std::string>()(options.id))),
      server_([this](Connection& connection) { Serve(connection); }) {}

void Backend::End() {
  ended_ = true;
  record_.Line("server " + options_.id + " exits");
  server_.End();
}

std::vector<Backend::Arrival> Backend::Arrivals() const {
  const std::lock_guard lock(mutex_);
  return arrivals_;
}

std::map<std::string, int> Backend::Runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

void Backend::Serve(Connection& connection) {
  std::string second_answer;
  while (!ended_) {
    const Message request = connection.Read();
    if (!request.whole || ended_) {
      return;
    }
    if (!second_answer.empty() &&
        !connection.Write(std::exchange(second_answer, {}))) {
      return;
    }
    if (!Handle(connection, request, second_answer)) {
      return;
    }
  }
}

bool Backend::Handle(Connection& connection,
                     const Message& request,
                     std::string& second_answer) {
  const std::string id = FieldOf(request.head.fields, "Request-Id");
  const Fields echo = {{"Request-Id", id}};
  if (FieldOf(request.head.fields, "Expect-Instance") != options_.id) {
    return Send(connection,
                Response(kMisdirected, "Misdirected Request", echo, ""),
                second_answer);
  }
  if (id.empty()) {
    return connection.Write(
        Response(kBadRequest, "Bad Request", {{"Not-Executed", "1"}}, ""));
  }
  record_.Line("reaches " + options_.id + " " + id);
  {
    const std::lock_guard lock(mutex_);
    arrivals_.push_back({.request = id, .at_ms = NowMs()});
  }
  if (!Admit()) {
    record_.Line("rejected by " + options_.id + " " + id);
    return Send(connection,
                Response(kUnavailable, "Service Unavailable",
                         {{"Request-Id", id}, {"Not-Executed", "1"}}, ""),
                second_answer);
  }
  record_.Line("runs at " + options_.id + " " + id);
  {
    const std::lock_guard lock(mutex_);
    ++runs_[id];
  }
  const Fields fields = {{"Request-Id", id},
                         {"Response-Seal", options_.id + "." + id}};
  if (HasPart(FieldOf(request.head.fields, "Prompt-Prefix"),
              options_.crashing_part)) {
    SleepMs(options_.event_gap_ms);
    record_.Line("crashed at " + options_.id + " by " + id);
    End();
    return false;
  }
  bool open = false;
  if (request.head.target().starts_with(options_.stream_path)) {
    open = Stream(connection, fields);
  } else {
    SleepMs(WorkMs());
    open = Send(connection, Response(kOk, "OK", fields, "answer to " + id),
                second_answer);
  }
  Release();
  record_.Line((open ? "answered by " : "cut at ") + options_.id + " " + id);
  return open;
}

bool Backend::Admit() {
  std::unique_lock lock(mutex_);
  if (running_ >= options_.slots) {
    if (queued_ >= options_.queue) {
      return false;
    }
    ++queued_;
    slot_freed_.wait(lock, [this] { return running_ < options_.slots; });
    --queued_;
  }
  ++running_;
  return true;
}

void Backend::Release() {
  const std::lock_guard lock(mutex_);
  --running_;
  slot_freed_.notify_one();
}

bool Backend::Send(Connection& connection,
                   const std::string& answer,
                   std::string& second_answer) {
  ++answers_;
  const double part = second_answers_;
  faulty_answers_ += part > 0 ? 1 : 0;
  if (sent_twice_ + 1 <= part * faulty_answers_) {
    ++sent_twice_;
    second_answer = answer;
    record_.Line("second answer due at " + options_.id);
  }
  return connection.Write(answer);
}

bool Backend::Stream(Connection& connection, const Fields& fields) {
  std::string head = "HTTP/1.1 200 OK\r\n";
  AppendFields(fields, head);
  head +=
      "Content-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  if (!connection.Write(head)) {
    return false;
  }
  for (int event = 1; event <= options_.events; ++event) {
    SleepMs(options_.event_gap_ms);
    if (ended_ || connection.IsPeerGone() ||
        !connection.Write(
            Chunk("id: " + std::to_string(event) + "\ndata: part\n\n"))) {
      return false;
    }
  }
  return connection.Write("0\r\n\r\n");
}

int Backend::WorkMs() {
  const std::lock_guard lock(mutex_);
  return std::uniform_int_distribution<int>(options_.work_ms / 2,
                                            options_.work_ms * 3 / 2)(random_);
}

}  // namespace review
