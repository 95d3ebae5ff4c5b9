// Asks backend servers for their health and load.
//
// Example:
//   asker.Ask(record, [](const LoadReply& reply) { ... });
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_LOAD_ASKER_H_
#define HEATHERLATCH_TRAFFIC_LOAD_ASKER_H_

#include <functional>
#include <list>
#include <memory>
#include <optional>

#include "heatherlatch/fleet/load_reading.h"
#include "heatherlatch/traffic/traffic_context.h"

namespace heatherlatch {

enum class Health {
  kWell,
  kIll,          // It answered that it is ill, or not at all.
  kOtherServer,  // Another server has the address now.
  kGone,         // Nothing listens at its address.
};

struct LoadReply {
  Health health = Health::kIll;
  std::optional<LoadReading> reading;
  bool cold = false;
};

class LoadAsker {
 public:
  explicit LoadAsker(TrafficContext* context) : context_(context) {}

  // @param done  called once, with kIll where no answer comes
  void Ask(const ServerRecord& server, std::function<void(LoadReply)> done);
  // As `Ask`, over a new connection, so that a server that has ended is told
  // from one that only closed its connections.
  void AskAnew(const ServerRecord& server, std::function<void(LoadReply)> done);

  // Gives up the questions that have been open for too long.
  void Sweep(TimePoint now);

 private:
  struct Question {
    ServerRecord server;
    std::shared_ptr<ClientConnection> connection;
    std::function<void(LoadReply)> done;
    TimePoint asked_at;
  };
  using Questions = std::list<Question>;

  void AskOver(std::shared_ptr<ClientConnection> connection,
               const ServerRecord& server, std::function<void(LoadReply)> done);
  void OnResult(Questions::iterator question, const CallResult& result);
  LoadReply ReadReply(const Question& question, const CallResult& result);

  TrafficContext* context_;
  Questions open_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_LOAD_ASKER_H_
