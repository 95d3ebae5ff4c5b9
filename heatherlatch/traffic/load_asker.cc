#include "heatherlatch/traffic/load_asker.h"

#include <utility>

#include "heatherlatch/traffic/http_status.h"
#include "platform/server_fields.h"

namespace heatherlatch {
namespace {

// How long a question may stay open. Source: several times the longest answer
// of a health path on the users' sheets, and the way between regions.
constexpr Duration kQuestionLimit = std::chrono::milliseconds(800);

}  // namespace

void LoadAsker::Ask(const ServerRecord& server,
                    std::function<void(LoadReply)> done) {
  AskOver(
      context_->connections.Take(server.endpoint, false, SteadyClock::now()),
      server, std::move(done));
}

void LoadAsker::AskAnew(const ServerRecord& server,
                        std::function<void(LoadReply)> done) {
  AskOver(ClientConnection::Open(context_->io, server.endpoint), server,
          std::move(done));
}

void LoadAsker::AskOver(std::shared_ptr<ClientConnection> connection,
                        const ServerRecord& server,
                        std::function<void(LoadReply)> done) {
  std::string path = "/";
  if (context_->routes) {
    const auto traits = context_->routes->services.find(server.service);
    if (traits != context_->routes->services.end()) {
      path = traits->second.health_path;
    }
  }
  const auto question = open_.insert(
      open_.end(),
      {server, std::move(connection), std::move(done), SteadyClock::now()});
  context_->metrics.Count("probes", "sent");
  question->connection->Call(
      wire::HealthRequest(ToString(server.endpoint), path), false,
      [this, question](const CallResult& result) {
        OnResult(question, result);
      });
}

void LoadAsker::OnResult(Questions::iterator question,
                         const CallResult& result) {
  const Question ended = std::move(*question);
  open_.erase(question);
  const LoadReply reply = ReadReply(ended, result);
  context_->connections.Return(ended.server.endpoint, ended.connection);
  ended.done(reply);
}

LoadReply LoadAsker::ReadReply(const Question& question,
                               const CallResult& result) {
  const TimePoint now = SteadyClock::now();
  const BackendServerName& name = question.server.name;
  const auto* answer = std::get_if<ServerAnswer>(&result);
  if (answer == nullptr) {
    context_->observations.OnFailure(name, now);
    const auto* not_sent = std::get_if<NotSent>(&result);
    const bool gone = not_sent != nullptr && not_sent->refused;
    return {gone ? Health::kGone : Health::kIll, std::nullopt, false};
  }
  const unsigned status = answer->message.result_int();
  const auto fields = wire::ReadServerAnswer(status, answer->message);
  // A late answer to an earlier request on this connection.
  if (!fields.request_id.empty() || fields.server.empty()) {
    question.connection->Cancel();
    return {};
  }
  question.connection->idle_limit = fields.idle_timeout;
  if (fields.server != name) {
    return {Health::kOtherServer, std::nullopt, false};
  }
  LoadReply reply;
  reply.health = status == kOk ? Health::kWell : Health::kIll;
  reply.reading = fields.load;
  if (fields.load) context_->observations.OnReading(name, *fields.load, now);
  context_->observations.OnColdRemaining(name, fields.cold_remaining, now);
  reply.cold = fields.cold_remaining > Duration::zero();
  return reply;
}

void LoadAsker::Sweep(TimePoint now) {
  for (auto question = open_.begin(); question != open_.end();) {
    const auto current = question++;
    if (now - current->asked_at < kQuestionLimit) continue;
    current->connection->Cancel();
    OnResult(current, NoAnswer{"no answer in time"});
  }
}

}  // namespace heatherlatch
