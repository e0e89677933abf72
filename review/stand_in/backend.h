#ifndef LAVENDERKEEL_REVIEW_STAND_IN_BACKEND_H_
#define LAVENDERKEEL_REVIEW_STAND_IN_BACKEND_H_

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "review/stand_in/http.h"
#include "review/stand_in/scene.h"

namespace review {

/// Stand-in for one backend server: processes a number of requests at once,
/// queues a few more and turns the rest away.
class Backend {
 public:
  struct Options {
    std::string id;
    int slots = 5;
    int queue = 3;
    /// Work for one request without a stream; each takes between half of it
    /// and one and a half times as much.
    int work_ms = 30;
    /// Events of a stream, and the time between them. Requests below
    /// `stream_path` get streams.
    std::string stream_path = "/stream/";
    int events = 20;
    int event_gap_ms = 80;
    /// A prompt with this part crashes the server when it begins to write the
    /// answer; empty: none does.
    std::string crashing_part = {};
  };
  struct Arrival {
    std::string request;
    int64_t at_ms = 0;
  };

  Backend(const Options& options, Record& record);

  int port() const { return server_.port(); }
  const std::string& id() const { return options_.id; }
  /// From now on a part of the answers is sent a second time, late: where the
  /// next answer on the connection is expected.
  void SendSecondAnswers(double part) { second_answers_ = part; }
  /// The process exits: its connections end, whatever runs is cut.
  void End();
  bool ended() const { return ended_; }

  /// Requests that reached the server and were not for another one.
  std::vector<Arrival> Arrivals() const;
  /// How often each request began to run.
  std::map<std::string, int> Runs() const;
  /// Answers, and those that were sent twice.
  int answers() const { return answers_; }
  int second_answers() const { return sent_twice_; }

 private:
  void Serve(Connection& connection);
  /// @return false if the connection ends
  bool Handle(Connection& connection,
              const Message& request,
              std::string& second_answer);
  /// Waits for a slot. @return false if the queue is full
  bool Admit();
  void Release();
  /// Sends a complete answer.
  bool Send(Connection& connection,
            const std::string& answer,
            std::string& second_answer);
  bool Stream(Connection& connection, const Fields& fields);
  int WorkMs();

  Options options_;
  Record& record_;
  mutable std::mutex mutex_;
  std::condition_variable slot_freed_;
  int running_ = 0;
  int queued_ = 0;
  std::vector<Arrival> arrivals_;
  std::map<std::string, int> runs_;
  std::mt19937 random_;
  std::atomic<double> second_answers_ = 0;
  std::atomic<int> answers_ = 0;
  /// Answers while a part of them is sent twice.
  std::atomic<int> faulty_answers_ = 0;
  std::atomic<int> sent_twice_ = 0;
  std::atomic<bool> ended_ = false;
  Server server_;
};

}  // namespace review

#endif  // LAVENDERKEEL_REVIEW_STAND_IN_BACKEND_H_
