#include "heatherlatch/traffic/isolated_run_client.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <utility>

#include "heatherlatch/admission/content_digest.h"
#include "heatherlatch/traffic/peer_requests.h"

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;

// How long a reader may take to respond: a round trip between regions to
// connect, another one, and the turns of a busy host.
constexpr Duration kAnswerTimeout = milliseconds(350);

// Between two questions about a content: after the first denial, and after
// several in a row.
constexpr Duration kMinAskDelay = milliseconds(40);
constexpr Duration kMaxAskDelay = milliseconds(640);

std::string_view ToString(IsolatedRunAnswer answer) {
  switch (answer) {
    case IsolatedRunAnswer::kDenied:
      return "denied";
    case IsolatedRunAnswer::kGranted:
      return "granted";
    case IsolatedRunAnswer::kCleared:
      return "cleared";
  }
  return "";
}

std::optional<FeedResponse> ReadResponse(const CallResult& result) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::optional<FeedResponse>> {
        BOOST_LEAF_AUTO(answer, ReadPeerResponse(result));
        return std::optional<FeedResponse>(std::move(answer));
      },
      [] { return std::optional<FeedResponse>(); });
}

}  // namespace

std::vector<Endpoint> ReadersFor(ContentDigest digest,
                                 std::vector<Endpoint> readers) {
  const std::string key = std::to_string(digest);
  std::sort(readers.begin(), readers.end(),
            [&key](const Endpoint& a, const Endpoint& b) {
              return DigestOf(key, ToString(a), "") <
                     DigestOf(key, ToString(b), "");
            });
  return readers;
}

IsolatedRunClient::IsolatedRunClient(TrafficContext* context,
                                     OnNotices on_notices)
    : context_(context), on_notices_(std::move(on_notices)) {}

void IsolatedRunClient::Ask(ContentDigest digest, Done done) {
  const auto denial = denials_.find(digest);
  if (denial != denials_.end() &&
      SteadyClock::now() < denial->second.ask_again_at) {
    done(IsolatedRunAnswer::kDenied);
    return;
  }
  const auto question = std::make_shared<Question>();
  question->digest = digest;
  question->readers = ReadersFor(digest, context_->settings.seeds);
  question->done = std::move(done);
  AskNextReader(question);
}

void IsolatedRunClient::AskNextReader(
    const std::shared_ptr<Question>& question) {
  if (question->next_reader == question->readers.size()) {
    denials_.erase(question->digest);
    if (!question->readers.empty()) {
      context_->metrics.Count("isolated_runs", "no-reader");
      context_->log.Write("isolated-run",
                          {{"digest", std::to_string(question->digest)},
                           {"answer", "no-reader"}});
    }
    question->done(IsolatedRunAnswer::kGranted);
    return;
  }
  const Endpoint reader = question->readers[question->next_reader++];
  const TimePoint now = SteadyClock::now();
  const TimePoint crashed_at =
      context_->suspects.LastCrash(question->digest).value_or(now);
  if (reader == context_->settings.peer_listen) {
    Finish(
        *question, reader,
        context_->isolated_runs.Ask(question->digest, reader, crashed_at, now));
    return;
  }
  FeedRequest request;
  request.isolated_run = IsolatedRunAsk{
      question->digest,
      std::chrono::duration_cast<milliseconds>(now - crashed_at)};
  Call(reader, std::move(request),
       [this, question, reader](const std::optional<FeedResponse>& response) {
         if (response) on_notices_(response->suspects);
         if (response && response->isolated_run) {
           Finish(*question, reader, *response->isolated_run);
         } else {
           AskNextReader(question);
         }
       });
}

void IsolatedRunClient::Finish(const Question& question, const Endpoint& reader,
                               IsolatedRunAnswer answer) {
  const bool is_denied = answer == IsolatedRunAnswer::kDenied;
  context_->metrics.Count("isolated_runs", ToString(answer));
  if (is_denied) {
    Denial& denial = denials_[question.digest];
    denial.delay = std::clamp(2 * denial.delay, kMinAskDelay, kMaxAskDelay);
    denial.ask_again_at = SteadyClock::now() + denial.delay;
  } else {
    denials_.erase(question.digest);
    context_->log.Write("isolated-run",
                        {{"digest", std::to_string(question.digest)},
                         {"reader", heatherlatch::ToString(reader)},
                         {"answer", ToString(answer)}});
  }
  if (answer == IsolatedRunAnswer::kGranted) issuers_[question.digest] = reader;
  question.done(answer);
}

void IsolatedRunClient::End(ContentDigest digest, IsolatedRunEnd end,
                            const std::optional<SuspectNotice>& notice) {
  const auto found = issuers_.find(digest);
  if (found == issuers_.end()) return;
  const Endpoint reader = found->second;
  issuers_.erase(found);
  if (reader == context_->settings.peer_listen) {
    context_->isolated_runs.End(digest, reader, end, SteadyClock::now());
    return;
  }
  FeedRequest request;
  request.ended_run = IsolatedRunReport{digest, end};
  if (notice) request.suspects.push_back(*notice);
  Call(reader, std::move(request), [](const std::optional<FeedResponse>&) {});
}

void IsolatedRunClient::RemoveExpired(TimePoint now) {
  for (auto it = denials_.begin(); it != denials_.end();) {
    const bool is_old =
        now - it->second.ask_again_at >= kIsolatedRunPermitLifetime;
    it = is_old ? denials_.erase(it) : std::next(it);
  }
}

void IsolatedRunClient::Call(
    const Endpoint& reader, FeedRequest request,
    std::function<void(const std::optional<FeedResponse>&)> done) {
  request.requester = context_->settings.peer_listen;
  // A reader that does not know the question takes it for one for items.
  request.after_revision = kNoItems;
  const auto connection = context_->connections.Open(reader);
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      *context_->io, kAnswerTimeout);
  const auto ended = std::make_shared<bool>(false);
  const auto end = [ended, done = std::move(done)](
                       const std::optional<FeedResponse>& response) {
    if (!std::exchange(*ended, true)) done(response);
  };
  connection->Call({BuildPeerRequest(reader, request)}, ResponseBounds(),
                   [timer, end](const CallResult& result) {
                     timer->cancel();
                     end(ReadResponse(result));
                   });
  timer->async_wait([connection, timer, end](const boost::system::error_code&) {
    connection->Cancel();
    end(std::nullopt);
  });
}

}  // namespace heatherlatch
