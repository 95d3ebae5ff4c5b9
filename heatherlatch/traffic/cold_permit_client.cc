#include "heatherlatch/traffic/cold_permit_client.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "heatherlatch/relay/peer_messages.h"
#include "heatherlatch/traffic/peer_requests.h"

namespace heatherlatch {
namespace {

// Between two questions: the first after one that brought a permit, the last
// after several in a row that did not.
constexpr Duration kMinAskDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxAskDelay = std::chrono::milliseconds(1600);
// Servers named in one question.
constexpr std::size_t kMaxAskedServers = 16;

}  // namespace

ColdPermitClient::ColdPermitClient(TrafficContext* context)
    : context_(context), timeout_(*context->io), delay_(kMinAskDelay) {}

ColdPermitClient::~ColdPermitClient() {
  if (connection_) connection_->Cancel();
}

std::vector<Endpoint> ColdPermitClient::OtherReaders() const {
  std::vector<Endpoint> readers = context_->settings.seeds;
  readers.erase(std::remove(readers.begin(), readers.end(),
                            context_->settings.peer_listen),
                readers.end());
  return readers;
}

void ColdPermitClient::Want(const BackendServerName& server) {
  const TimePoint now = SteadyClock::now();
  if (context_->IssueColdPermit(server, PermitRequester::kSelf, now)) {
    context_->cold_permits.Receive(server, now);
    return;
  }
  if (wanted_.size() < kMaxAskedServers) wanted_.insert(server);
  if (!asking_ && now >= ask_again_at_) Ask(now);
}

void ColdPermitClient::Ask(TimePoint now) {
  // Some may have left since they were wanted.
  for (auto it = wanted_.begin(); it != wanted_.end();) {
    it = context_->directory.FindUsable(*it, now) == nullptr ? wanted_.erase(it)
                                                             : std::next(it);
  }
  if (wanted_.empty()) return;
  const std::vector<Endpoint> readers = OtherReaders();
  if (readers.empty()) {
    wanted_.clear();
    return;
  }
  asking_ = true;
  const Endpoint& reader = readers[next_reader_ % readers.size()];
  FeedRequest question;
  question.requester = context_->settings.peer_listen;
  question.cold_servers.assign(wanted_.begin(), wanted_.end());
  wanted_.clear();
  context_->metrics.Count("cold_permits", "asked");
  context_->log.Write(
      "cold-permits-asked",
      {{"reader", ToString(reader)},
       {"servers", static_cast<double>(question.cold_servers.size())}});
  connection_ = context_->connections.Open(reader);
  connection_->Call(
      {BuildPeerRequest(reader, question)}, ResponseBounds(),
      [this, now](const CallResult& result) { OnResult(now, result); });
  timeout_.expires_at(now + kColdStartPermitLifetime);
  timeout_.async_wait([this](const boost::system::error_code& error) {
    if (error || !asking_) return;
    connection_->Cancel();
    Finish(false);
  });
}

void ColdPermitClient::OnResult(TimePoint asked_at, const CallResult& result) {
  timeout_.cancel();
  bool received = false;
  boost::leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(answer, ReadPeerResponse(result));
        for (const BackendServerName& server : answer.permitted_servers) {
          context_->cold_permits.Receive(server, asked_at);
          context_->metrics.Count("cold_permits", "received");
          context_->log.Write("cold-permit", {{"server", server.str()}});
          received = true;
        }
        return {};
      },
      [] {});
  Finish(received);
}

void ColdPermitClient::Finish(bool received) {
  asking_ = false;
  connection_->Cancel();
  if (!received) ++next_reader_;
  delay_ = received ? kMinAskDelay : std::min(2 * delay_, kMaxAskDelay);
  ask_again_at_ = SteadyClock::now() + delay_;
}

}  // namespace heatherlatch
