#include "heatherlatch/peer/transport.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <shared_mutex>
#include <thread>
#include <utility>

#include "heatherlatch/peer/internal/backoff.h"
#include "heatherlatch/peer/internal/link.h"
#include "heatherlatch/peer/internal/outbox.h"
#include "heatherlatch/peer/internal/websocket.h"
#include "heatherlatch/peer/peer_key.h"

namespace heatherlatch {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using peer_internal::Backoff;
using peer_internal::Connection;
using peer_internal::ConnectionPtr;
using peer_internal::Link;
using peer_internal::LinkPtr;
using peer_internal::Outbox;
using peer_internal::WebsocketClient;
using peer_internal::WebsocketMessagePtr;
using peer_internal::WebsocketServer;
using peer_internal::WireBytes;

// Limit of a frame from a host that has not proven the key; a Hello fits.
constexpr std::size_t kMaxHandshakeFrameBytes = 4096;
// Accepted connections that are not admitted yet; more are closed at once.
constexpr std::size_t kMaxUnadmittedLinks = 256;
constexpr Duration kStopTimeout = std::chrono::seconds(1);
constexpr int kChecksPerMaxSilence = 5;
// Close codes 4000 to 4999 are for private use (RFC 6455, 7.4.2).
constexpr int kFirstCloseCode = 4000;

websocketpp::close::status::value CloseCode(LinkLossReason reason) {
  return static_cast<websocketpp::close::status::value>(
      kFirstCloseCode + static_cast<int>(reason));
}

// @return the reason that a close code stands for; `kClosed` for other codes
LinkLossReason ReasonOfCode(int code) {
  const int reason = code - kFirstCloseCode;
  const bool valid_code =
      reason >= 0 && reason <= static_cast<int>(LinkLossReason::kStopped);
  return valid_code ? static_cast<LinkLossReason>(reason)
                    : LinkLossReason::kClosed;
}

Endpoint ToEndpoint(const tcp::endpoint& endpoint) {
  return {endpoint.address().to_string(), endpoint.port()};
}

Endpoint RemoteOf(const ConnectionPtr& connection) {
  boost::system::error_code error;
  const tcp::endpoint remote =
      connection->get_raw_socket().remote_endpoint(error);
  return error ? Endpoint{} : ToEndpoint(remote);
}

void SetTcpNoDelay(const ConnectionPtr& connection) {
  boost::system::error_code ignored;
  connection->get_raw_socket().set_option(tcp::no_delay(true), ignored);
}

// The library detects the byte order on first use, without a lock; this first
// use, before any thread starts, prevents a data race.
void InitialiseByteOrder() {
  static const auto ignored = websocketpp::lib::net::_htonll(0);
  static_cast<void>(ignored);
}

bool SameHostOrEndpoint(const HostDescription& a, const HostDescription& b) {
  return a.incarnation.host == b.incarnation.host ||
         a.peer_endpoint == b.peer_endpoint;
}

// Omits the sender of a heartbeat if it is this host: the receiver has the
// description from the `Hello` and sets it again in `RestoreSender`.
std::string EncodeOmittingOwnSender(const HostDescription& self,
                                    const PeerMessage& message) {
  const auto* heartbeat = std::get_if<Heartbeat>(&message);
  const bool from_self =
      heartbeat != nullptr && heartbeat->from.incarnation == self.incarnation;
  if (!from_self) return EncodeFrame(message);
  Heartbeat shortened = *heartbeat;
  shortened.from = HostDescription{};
  return EncodeFrame(shortened);
}

void RestoreSender(const HostDescription& peer, PeerMessage* message) {
  auto* heartbeat = std::get_if<Heartbeat>(message);
  if (heartbeat == nullptr) return;
  if (heartbeat->from.incarnation.host.empty()) heartbeat->from = peer;
}

}  // namespace

class PeerTransport::Impl {
 public:
  Impl(HostDescription self, TransportOptions options,
       TransportHandlers handlers)
      : self_(std::move(self)),
        options_(std::move(options)),
        handlers_(std::move(handlers)),
        work_guard_(asio::make_work_guard(io_)),
        silence_timer_(io_),
        stop_timer_(io_) {
    InitialiseByteOrder();
    SetUp(&server_);
    SetUp(&client_);
  }

  ~Impl() { Stop(); }

  Result<void> Start();
  void Stop();
  Endpoint ListenEndpoint() const { return listen_; }
  void SetTargets(const std::vector<Endpoint>& targets);
  SendResult Send(const HostIncarnation& peer, const PeerMessage& message);
  std::vector<HostIncarnation> LinkedPeers() const;
  TransportCounters Counters() const;

 private:
  // An endpoint that the transport keeps a link to.
  struct Target {
    Target(asio::io_context& io, const TransportOptions& options)
        : retry(io), backoff(options.reconnect_min, options.reconnect_max) {}
    asio::steady_timer retry;
    Backoff backoff;
    // The host last linked to at this endpoint. If two endpoints lead to one
    // host, one link serves both.
    std::optional<HostIncarnation> peer;
  };

  // Set-up.
  template <typename WebsocketEndpoint>
  void SetUp(WebsocketEndpoint* endpoint);
  std::error_code Listen();
  void RunIo();

  // Events of the websocket library, on the I/O thread.
  void OnTcpOpen(const websocketpp::connection_hdl& handle);
  void OnOpen(const websocketpp::connection_hdl& handle);
  void OnFrame(const websocketpp::connection_hdl& handle,
               const WebsocketMessagePtr& frame);
  void OnPong(const websocketpp::connection_hdl& handle);
  void OnEnd(const websocketpp::connection_hdl& handle);

  // The handshake.
  void HandleHandshakeMessage(const LinkPtr& link, PeerMessage message);
  void HandleChallenge(const LinkPtr& link, Challenge challenge);
  void HandleHello(const LinkPtr& link, const Hello& hello);
  bool HasValidProof(const LinkPtr& link, const Hello& hello) const;
  std::string ProofFor(const LinkPtr& link) const;
  void SendHandshakeMessage(const LinkPtr& link, const PeerMessage& message);
  void Admit(const LinkPtr& link, const HostDescription& peer);
  bool IsPreferred(const LinkPtr& link, const HostIncarnation& peer) const;
  void Replace(const LinkPtr& other, const LinkPtr& link,
               const HostDescription& peer);
  // Registers another admitted link to the peer, if one is open.
  void RegisterSpareLink(const HostIncarnation& peer);
  // Makes the link the one that messages to its peer are sent on.
  void Register(const LinkPtr& link);

  // Closing of links. `Refuse` is for links that are not admitted, `Drop` for
  // admitted ones.
  void HandleFrameError(const LinkPtr& link, const FrameError& error);
  void Refuse(const LinkPtr& link, LinkLossReason reason,
              const FrameError* error);
  void Drop(const LinkPtr& link, LinkLossReason reason);
  void Close(const LinkPtr& link, LinkLossReason reason);
  static void Terminate(const ConnectionPtr& connection);
  void Unregister(const LinkPtr& link, LinkLossReason reason);
  static Endpoint TargetOf(const LinkPtr& link);
  static LinkLossReason EndReason(const LinkPtr& link);

  // Connecting.
  void ReplaceTargets(const std::set<Endpoint>& targets);
  void ConnectIfNeeded(const Endpoint& endpoint);
  void Connect(const Endpoint& endpoint);
  void RetryLater(const Endpoint& endpoint);
  void RetryTargetsOf(const HostIncarnation& peer);
  bool HasLinkTo(const Endpoint& endpoint) const;

  // Sending, on the I/O thread.
  void WriteOutbox();
  void WriteFrame(const LinkPtr& link, const WebsocketMessagePtr& frame);

  // Timed checks.
  void ScheduleSilenceCheck();
  void CheckSilence();
  void CheckLink(const LinkPtr& link, TimePoint now);

  // Stopping.
  void BeginStop();
  void EndStopIfIdle();

  LinkPtr FindAdmitted(const HostIncarnation& peer) const;
  void AddLink(const LinkPtr& link);
  std::vector<LinkPtr> AllLinks() const;
  std::size_t CountUnadmitted() const;

  HostDescription self_;
  TransportOptions options_;
  TransportHandlers handlers_;
  Endpoint listen_;

  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
  WebsocketServer server_;
  WebsocketClient client_;
  std::thread thread_;
  std::once_flag stop_once_;
  bool started_ = false;

  // Used on the I/O thread only.
  std::set<LinkPtr> links_;
  std::map<Endpoint, Target> targets_;
  std::mt19937 jitter_random_{std::random_device()()};
  asio::steady_timer silence_timer_;
  asio::steady_timer stop_timer_;
  bool stopping_ = false;

  Outbox outbox_;
  mutable std::shared_mutex admitted_mutex_;
  std::map<HostIncarnation, LinkPtr> admitted_;
  std::atomic<std::uint64_t> bytes_sent_{0};
  std::atomic<std::uint64_t> bytes_received_{0};
  std::atomic<std::uint64_t> messages_sent_{0};
  std::atomic<std::uint64_t> messages_received_{0};
  std::atomic<std::uint64_t> connections_{0};
};

// Set-up.

template <typename WebsocketEndpoint>
void PeerTransport::Impl::SetUp(WebsocketEndpoint* endpoint) {
  endpoint->init_asio(&io_);
  endpoint->set_max_message_size(kMaxHandshakeFrameBytes);
  endpoint->set_tcp_post_init_handler(
      [this](const auto& handle) { OnTcpOpen(handle); });
  endpoint->set_open_handler([this](const auto& handle) { OnOpen(handle); });
  endpoint->set_close_handler([this](const auto& handle) { OnEnd(handle); });
  endpoint->set_fail_handler([this](const auto& handle) { OnEnd(handle); });
  endpoint->set_pong_handler(
      [this](const auto& handle, const auto&) { OnPong(handle); });
  endpoint->set_message_handler([this](const auto& handle, const auto& frame) {
    OnFrame(handle, frame);
  });
}

Result<void> PeerTransport::Impl::Start() {
  const std::error_code error = Listen();
  if (error) {
    return Fail(TransportError{TransportProblem::kListenFailed, options_.listen,
                               error.message()});
  }
  started_ = true;
  ScheduleSilenceCheck();
  thread_ = std::thread([this] { RunIo(); });
  return {};
}

std::error_code PeerTransport::Impl::Listen() {
  boost::system::error_code address_error;
  const auto address =
      asio::ip::make_address(options_.listen.address, address_error);
  if (address_error) return std::make_error_code(std::errc::invalid_argument);
  std::error_code error;
  server_.set_reuse_addr(true);
  server_.listen(tcp::endpoint(address, options_.listen.port), error);
  if (error) return error;
  boost::system::error_code ignored;
  listen_ = ToEndpoint(server_.get_local_endpoint(ignored));
  if (self_.peer_endpoint.port == 0) self_.peer_endpoint.port = listen_.port;
  server_.start_accept(error);
  return error;
}

void PeerTransport::Impl::RunIo() {
  // The websocket library may throw on unexpected input; the loop continues, so
  // the other links are not affected.
  while (!io_.stopped()) {
    try {
      io_.run();
    } catch (const websocketpp::exception&) {
      continue;
    } catch (const boost::system::system_error&) {
      continue;
    }
  }
}

// Events of the websocket library.

void PeerTransport::Impl::OnTcpOpen(const websocketpp::connection_hdl& handle) {
  const auto connection = std::static_pointer_cast<Connection>(handle.lock());
  if (!connection) return;
  SetTcpNoDelay(connection);
  if (connection->link) return;
  if (CountUnadmitted() >= kMaxUnadmittedLinks) return Terminate(connection);
  connection->link =
      std::make_shared<Link>(connection, LinkRole::kAccepting,
                             RemoteOf(connection), SteadyClock::now());
  AddLink(connection->link);
}

void PeerTransport::Impl::OnOpen(const websocketpp::connection_hdl& handle) {
  const auto connection = std::static_pointer_cast<Connection>(handle.lock());
  if (!connection || !connection->link) return;
  SendHandshakeMessage(
      connection->link,
      Challenge{kPeerProtocolVersion, connection->link->own_nonce()});
}

void PeerTransport::Impl::OnFrame(const websocketpp::connection_hdl& handle,
                                  const WebsocketMessagePtr& frame) {
  const auto connection = std::static_pointer_cast<Connection>(handle.lock());
  if (!connection || !connection->link) return;
  const LinkPtr link = connection->link;
  if (link->close_reason()) return;
  link->ResetSilentChecks();
  bytes_received_ +=
      WireBytes(frame->get_payload().size(), !link->masks_frames());
  ++messages_received_;
  boost::leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(message, DecodeFrame(frame->get_payload()));
        if (!message) return {};
        if (!link->admitted()) {
          HandleHandshakeMessage(link, std::move(*message));
        } else if (handlers_.on_message) {
          RestoreSender(link->peer(), &*message);
          handlers_.on_message(link->peer().incarnation, std::move(*message));
        }
        return {};
      },
      [&](const FrameError& error) { HandleFrameError(link, error); },
      [&] { HandleFrameError(link, FrameError{}); });
}

void PeerTransport::Impl::OnPong(const websocketpp::connection_hdl& handle) {
  const auto connection = std::static_pointer_cast<Connection>(handle.lock());
  if (connection && connection->link) connection->link->ResetSilentChecks();
}

void PeerTransport::Impl::OnEnd(const websocketpp::connection_hdl& handle) {
  const auto connection = std::static_pointer_cast<Connection>(handle.lock());
  if (!connection || !connection->link) return;
  const LinkPtr link = std::exchange(connection->link, nullptr);
  links_.erase(link);
  connections_ = links_.size();
  const LinkLossReason reason = EndReason(link);
  if (link->admitted()) {
    Unregister(link, reason);
    RegisterSpareLink(link->peer().incarnation);
  } else if (!link->close_reason() && reason != LinkLossReason::kClosed &&
             handlers_.on_link_refused) {
    handlers_.on_link_refused(link->remote(), reason, nullptr);
  }
  RetryLater(TargetOf(link));
  EndStopIfIdle();
}

Endpoint PeerTransport::Impl::TargetOf(const LinkPtr& link) {
  return link->role() == LinkRole::kConnecting ? link->remote()
                                               : link->peer().peer_endpoint;
}

LinkLossReason PeerTransport::Impl::EndReason(const LinkPtr& link) {
  if (link->close_reason()) return *link->close_reason();
  const bool oversize = link->connection()->get_ec() ==
                        websocketpp::processor::error::message_too_big;
  if (oversize) return LinkLossReason::kBadFrame;
  return ReasonOfCode(link->connection()->get_remote_close_code());
}

// The handshake.

void PeerTransport::Impl::HandleHandshakeMessage(const LinkPtr& link,
                                                 PeerMessage message) {
  if (auto* challenge = std::get_if<Challenge>(&message)) {
    HandleChallenge(link, std::move(*challenge));
  } else if (const auto* hello = std::get_if<Hello>(&message)) {
    HandleHello(link, *hello);
  } else {
    Refuse(link, LinkLossReason::kKeyNotProven, nullptr);
  }
}

void PeerTransport::Impl::HandleChallenge(const LinkPtr& link,
                                          Challenge challenge) {
  if (challenge.protocol_version != kPeerProtocolVersion) {
    return Refuse(link, LinkLossReason::kProtocolVersion, nullptr);
  }
  const bool valid =
      challenge.nonce.size() == kPeerNonceBytes && link->peer_nonce().empty();
  if (!valid) return Refuse(link, LinkLossReason::kKeyNotProven, nullptr);
  link->SetPeerNonce(std::move(challenge.nonce));
  SendHandshakeMessage(link,
                       Hello{kPeerProtocolVersion, self_, ProofFor(link)});
}

std::string PeerTransport::Impl::ProofFor(const LinkPtr& link) const {
  return MakeKeyProof(options_.keys, {link->role(), link->own_nonce(),
                                      link->peer_nonce(), self_});
}

bool PeerTransport::Impl::HasValidProof(const LinkPtr& link,
                                        const Hello& hello) const {
  const LinkRole peer_role = link->role() == LinkRole::kConnecting
                                 ? LinkRole::kAccepting
                                 : LinkRole::kConnecting;
  return !link->peer_nonce().empty() &&
         CheckKeyProof(
             options_.keys,
             {peer_role, link->peer_nonce(), link->own_nonce(), hello.from},
             hello.key_proof);
}

void PeerTransport::Impl::HandleHello(const LinkPtr& link, const Hello& hello) {
  if (hello.protocol_version != kPeerProtocolVersion) {
    return Refuse(link, LinkLossReason::kProtocolVersion, nullptr);
  }
  if (!HasValidProof(link, hello)) {
    return Refuse(link, LinkLossReason::kKeyNotProven, nullptr);
  }
  if (hello.from.incarnation == self_.incarnation) {
    return Close(link, LinkLossReason::kClosed);
  }
  Admit(link, hello.from);
}

void PeerTransport::Impl::SendHandshakeMessage(const LinkPtr& link,
                                               const PeerMessage& message) {
  std::string payload = EncodeFrame(message);
  link->TryReserve(payload.size(), options_.max_unsent_bytes);
  WriteFrame(link, link->MakeFrame(std::move(payload)));
}

bool PeerTransport::Impl::IsPreferred(const LinkPtr& link,
                                      const HostIncarnation& peer) const {
  const bool connects = link->role() == LinkRole::kConnecting;
  return connects == (self_.incarnation < peer);
}

void PeerTransport::Impl::Admit(const LinkPtr& link,
                                const HostDescription& peer) {
  const LinkPtr current = FindAdmitted(peer.incarnation);
  const bool opposite_roles = current && current->role() != link->role();
  if (opposite_roles && !IsPreferred(link, peer.incarnation)) {
    return Close(link, LinkLossReason::kReplaced);
  }
  for (const LinkPtr& other : AllLinks()) {
    if (other == link || !other->admitted()) continue;
    if (SameHostOrEndpoint(other->peer(), peer)) Replace(other, link, peer);
  }
  link->Admit(peer);
  Register(link);
}

void PeerTransport::Impl::Replace(const LinkPtr& other, const LinkPtr& link,
                                  const HostDescription& peer) {
  // The two ends may admit two links of one connecting host in different
  // orders, so only the connecting end decides which one to close.
  const bool peer_closes_one = other->peer().incarnation == peer.incarnation &&
                               other->role() == LinkRole::kAccepting &&
                               link->role() == LinkRole::kAccepting;
  Unregister(other, LinkLossReason::kReplaced);
  if (!peer_closes_one) Close(other, LinkLossReason::kReplaced);
}

void PeerTransport::Impl::RegisterSpareLink(const HostIncarnation& peer) {
  if (stopping_ || FindAdmitted(peer)) return;
  for (const LinkPtr& link : links_) {
    const bool usable = link->admitted() && !link->close_reason() &&
                        link->peer().incarnation == peer;
    if (usable) return Register(link);
  }
}

void PeerTransport::Impl::Register(const LinkPtr& link) {
  link->connection()->set_max_message_size(kMaxFrameBytes);
  {
    const std::unique_lock<std::shared_mutex> lock(admitted_mutex_);
    admitted_[link->peer().incarnation] = link;
  }
  const auto target = targets_.find(TargetOf(link));
  if (target != targets_.end()) {
    target->second.backoff.Reset();
    target->second.peer = link->peer().incarnation;
  }
  if (handlers_.on_link_up) handlers_.on_link_up(link->peer());
}

// Closing of links.

void PeerTransport::Impl::HandleFrameError(const LinkPtr& link,
                                           const FrameError& error) {
  if (!link->admitted()) return Refuse(link, LinkLossReason::kBadFrame, &error);
  if (handlers_.on_link_refused) {
    handlers_.on_link_refused(link->remote(), LinkLossReason::kBadFrame,
                              &error);
  }
  Drop(link, LinkLossReason::kBadFrame);
}

void PeerTransport::Impl::Refuse(const LinkPtr& link, LinkLossReason reason,
                                 const FrameError* error) {
  if (handlers_.on_link_refused) {
    handlers_.on_link_refused(link->remote(), reason, error);
  }
  Close(link, reason);
}

void PeerTransport::Impl::Drop(const LinkPtr& link, LinkLossReason reason) {
  Unregister(link, reason);
  Close(link, reason);
}

void PeerTransport::Impl::Close(const LinkPtr& link, LinkLossReason reason) {
  if (link->close_reason()) return;
  link->SetCloseReason(reason);
  std::error_code error;
  link->connection()->close(CloseCode(reason), "", error);
  // A connection that is not open yet cannot do the closing handshake.
  if (error) Terminate(link->connection());
}

void PeerTransport::Impl::Terminate(const ConnectionPtr& connection) {
  connection->terminate(websocketpp::error::make_error_code(
      websocketpp::error::operation_canceled));
}

void PeerTransport::Impl::Unregister(const LinkPtr& link,
                                     LinkLossReason reason) {
  {
    const std::unique_lock<std::shared_mutex> lock(admitted_mutex_);
    const auto found = admitted_.find(link->peer().incarnation);
    if (found == admitted_.end() || found->second != link) return;
    admitted_.erase(found);
  }
  RetryTargetsOf(link->peer().incarnation);
  if (handlers_.on_link_down) {
    handlers_.on_link_down(link->peer().incarnation, reason);
  }
}

// Connecting.

void PeerTransport::Impl::SetTargets(const std::vector<Endpoint>& targets) {
  asio::post(
      io_, [this, wanted = std::set<Endpoint>(targets.begin(), targets.end())] {
        ReplaceTargets(wanted);
      });
}

void PeerTransport::Impl::ReplaceTargets(const std::set<Endpoint>& targets) {
  if (stopping_) return;
  for (auto it = targets_.begin(); it != targets_.end();) {
    it = targets.count(it->first) > 0 ? std::next(it) : targets_.erase(it);
  }
  for (const Endpoint& endpoint : targets) {
    const bool added = targets_.count(endpoint) == 0;
    if (!added || endpoint == self_.peer_endpoint) continue;
    targets_.try_emplace(endpoint, io_, options_);
    ConnectIfNeeded(endpoint);
  }
}

void PeerTransport::Impl::RetryTargetsOf(const HostIncarnation& peer) {
  for (const auto& [endpoint, target] : targets_) {
    if (target.peer == peer) RetryLater(endpoint);
  }
}

bool PeerTransport::Impl::HasLinkTo(const Endpoint& endpoint) const {
  for (const LinkPtr& link : links_) {
    if (link->close_reason()) continue;
    const bool connecting =
        link->role() == LinkRole::kConnecting && link->remote() == endpoint;
    const bool linked =
        link->admitted() && link->peer().peer_endpoint == endpoint;
    if (connecting || linked) return true;
  }
  return false;
}

void PeerTransport::Impl::ConnectIfNeeded(const Endpoint& endpoint) {
  const auto target = targets_.find(endpoint);
  if (stopping_ || target == targets_.end()) return;
  const auto& peer = target->second.peer;
  const bool linked = peer && FindAdmitted(*peer) != nullptr;
  if (!linked && !HasLinkTo(endpoint)) Connect(endpoint);
}

void PeerTransport::Impl::Connect(const Endpoint& endpoint) {
  std::error_code error;
  const ConnectionPtr connection =
      client_.get_connection("ws://" + ToString(endpoint) + "/", error);
  if (error) return RetryLater(endpoint);
  connection->link = std::make_shared<Link>(connection, LinkRole::kConnecting,
                                            endpoint, SteadyClock::now());
  AddLink(connection->link);
  client_.connect(connection);
}

void PeerTransport::Impl::RetryLater(const Endpoint& endpoint) {
  const auto found = targets_.find(endpoint);
  if (stopping_ || found == targets_.end()) return;
  Target& target = found->second;
  target.retry.expires_after(target.backoff.Next(jitter_random_));
  target.retry.async_wait([this, endpoint](boost::system::error_code error) {
    if (!error) ConnectIfNeeded(endpoint);
  });
}

// Sending.

SendResult PeerTransport::Impl::Send(const HostIncarnation& peer,
                                     const PeerMessage& message) {
  const LinkPtr link = FindAdmitted(peer);
  if (!link) return SendResult::kNoLink;
  std::string payload = EncodeOmittingOwnSender(self_, message);
  const std::size_t size = payload.size();
  if (size > kMaxFrameBytes) return SendResult::kTooLarge;
  if (!link->TryReserve(size, options_.max_unsent_bytes)) {
    return SendResult::kLinkFull;
  }
  const bool needs_wakeup =
      outbox_.Push({link, link->MakeFrame(std::move(payload))});
  if (needs_wakeup) asio::post(io_, [this] { WriteOutbox(); });
  return SendResult::kQueued;
}

void PeerTransport::Impl::WriteOutbox() {
  for (const auto& outgoing : outbox_.TakeAll()) {
    WriteFrame(outgoing.link, outgoing.frame);
  }
}

void PeerTransport::Impl::WriteFrame(const LinkPtr& link,
                                     const WebsocketMessagePtr& frame) {
  const std::error_code error = link->connection()->send(frame);
  if (error) return;  // The link has ended.
  bytes_sent_ += frame->get_header().size() + frame->get_payload().size();
  ++messages_sent_;
}

// Timed checks.

void PeerTransport::Impl::ScheduleSilenceCheck() {
  silence_timer_.expires_after(options_.max_silence / kChecksPerMaxSilence);
  silence_timer_.async_wait([this](boost::system::error_code error) {
    if (error || stopping_) return;
    CheckSilence();
    ScheduleSilenceCheck();
  });
}

void PeerTransport::Impl::CheckSilence() {
  const TimePoint now = SteadyClock::now();
  for (const LinkPtr& link : AllLinks()) CheckLink(link, now);
}

void PeerTransport::Impl::CheckLink(const LinkPtr& link, TimePoint now) {
  if (link->close_reason()) return;
  if (!link->admitted()) {
    const bool timed_out =
        now - link->opened_at() >= options_.admission_timeout;
    if (timed_out) Close(link, LinkLossReason::kClosed);
    return;
  }
  const int silent_checks = link->CountSilentCheck();
  if (silent_checks > kChecksPerMaxSilence) {
    return Drop(link, LinkLossReason::kClosed);
  }
  if (silent_checks > 1) {
    std::error_code ignored;
    link->connection()->ping("", ignored);
  }
}

// Stopping.

void PeerTransport::Impl::Stop() {
  std::call_once(stop_once_, [this] {
    if (!started_) return;
    asio::post(io_, [this] { BeginStop(); });
    thread_.join();
    for (const LinkPtr& link : links_) link->connection()->link = nullptr;
  });
}

void PeerTransport::Impl::BeginStop() {
  stopping_ = true;
  WriteOutbox();
  std::error_code ignored;
  server_.stop_listening(ignored);
  targets_.clear();
  silence_timer_.cancel();
  for (const LinkPtr& link : AllLinks()) {
    if (link->admitted()) Unregister(link, LinkLossReason::kStopped);
    Close(link, LinkLossReason::kStopped);
  }
  stop_timer_.expires_after(kStopTimeout);
  stop_timer_.async_wait([this](boost::system::error_code) { io_.stop(); });
  EndStopIfIdle();
}

void PeerTransport::Impl::EndStopIfIdle() {
  if (stopping_ && links_.empty()) io_.stop();
}

// Queries.

LinkPtr PeerTransport::Impl::FindAdmitted(const HostIncarnation& peer) const {
  const std::shared_lock<std::shared_mutex> lock(admitted_mutex_);
  const auto found = admitted_.find(peer);
  return found == admitted_.end() ? nullptr : found->second;
}

void PeerTransport::Impl::AddLink(const LinkPtr& link) {
  links_.insert(link);
  connections_ = links_.size();
}

std::vector<LinkPtr> PeerTransport::Impl::AllLinks() const {
  return {links_.begin(), links_.end()};
}

std::size_t PeerTransport::Impl::CountUnadmitted() const {
  return std::count_if(links_.begin(), links_.end(), [](const LinkPtr& link) {
    return !link->admitted() && link->role() == LinkRole::kAccepting;
  });
}

std::vector<HostIncarnation> PeerTransport::Impl::LinkedPeers() const {
  const std::shared_lock<std::shared_mutex> lock(admitted_mutex_);
  std::vector<HostIncarnation> peers;
  peers.reserve(admitted_.size());
  for (const auto& [peer, link] : admitted_) peers.push_back(peer);
  return peers;
}

TransportCounters PeerTransport::Impl::Counters() const {
  return {bytes_sent_, bytes_received_, messages_sent_, messages_received_,
          connections_};
}

PeerTransport::PeerTransport(HostDescription self, TransportOptions options,
                             TransportHandlers handlers)
    : impl_(std::make_shared<Impl>(std::move(self), std::move(options),
                                   std::move(handlers))) {}

PeerTransport::~PeerTransport() { impl_->Stop(); }

Result<void> PeerTransport::Start() { return impl_->Start(); }

void PeerTransport::Stop() { impl_->Stop(); }

Endpoint PeerTransport::ListenEndpoint() const {
  return impl_->ListenEndpoint();
}

void PeerTransport::SetTargets(const std::vector<Endpoint>& targets) {
  impl_->SetTargets(targets);
}

SendResult PeerTransport::Send(const HostIncarnation& peer,
                               const PeerMessage& message) {
  return impl_->Send(peer, message);
}

std::vector<HostIncarnation> PeerTransport::LinkedPeers() const {
  return impl_->LinkedPeers();
}

TransportCounters PeerTransport::Counters() const { return impl_->Counters(); }

}  // namespace heatherlatch
