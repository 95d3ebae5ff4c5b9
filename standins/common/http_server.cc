#include "standins/common/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <poll.h>
#include <sys/socket.h>
#include <ulfius.h>

#include <algorithm>
#include <cstring>
#include <map>
#include <mutex>

namespace heatherlatch::standins {
namespace {

constexpr std::size_t kThreadStackBytes = std::size_t{512} * 1024;
constexpr std::size_t kStreamBlockBytes = 16384;
constexpr std::size_t kMaxBodyBytes = 16 << 20;

std::uint16_t PortOf(const sockaddr* address) {
  return ntohs(reinterpret_cast<const sockaddr_in*>(address)->sin_port);
}

std::string ValueOf(const _u_map* map, const char* name) {
  const char* value = u_map_get_case(map, name);
  return value == nullptr ? "" : value;
}

ssize_t WriteStream(void* stream, std::uint64_t /*offset*/, char* out,
                    std::size_t capacity) {
  auto& body = **static_cast<std::shared_ptr<StreamedBody>*>(stream);
  const std::optional<std::size_t> written = body.write(out, capacity);
  if (!written) return U_STREAM_ERROR;
  if (*written == 0) return U_STREAM_END;
  return static_cast<ssize_t>(*written);
}

void FreeStream(void* stream) {
  auto* body = static_cast<std::shared_ptr<StreamedBody>*>(stream);
  if ((*body)->finished) (*body)->finished();
  delete body;
}

void SetResponse(const HttpResponse& response, _u_response* target) {
  for (const auto& [name, value] : response.headers) {
    u_map_put(target->map_header, name.c_str(), value.c_str());
  }
  const auto status = static_cast<unsigned int>(response.status);
  target->status = response.status;
  if (response.stream == nullptr) {
    if (response.body.empty()) return;
    ulfius_set_binary_body_response(target, status, response.body.data(),
                                    response.body.size());
    return;
  }
  ulfius_set_stream_response(
      target, status, &WriteStream, &FreeStream, response.stream->length,
      kStreamBlockBytes, new std::shared_ptr<StreamedBody>(response.stream));
}

}  // namespace

bool Connection::WaitWhileOpen(Duration wait) const {
  const TimePoint end = SteadyClock::now() + wait;
  while (true) {
    const Duration left = std::max(end - SteadyClock::now(), Duration::zero());
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(left);
    const timespec timeout = {static_cast<time_t>(seconds.count()),
                              (left - seconds).count()};
    pollfd descriptor = {socket_, POLLRDHUP, 0};
    const int ready = ppoll(&descriptor, 1, &timeout, nullptr);
    if (ready > 0) return false;
    if (ready == 0) return true;
  }
}

void Connection::Close() const { shutdown(socket_, SHUT_RDWR); }

bool Connection::TakeFirstUse() { return !std::exchange(used_, true); }

std::string HttpRequest::Header(const char* name) const {
  return ValueOf(static_cast<const _u_request*>(source)->map_header, name);
}

std::string HttpRequest::Query(const char* name) const {
  return ValueOf(static_cast<const _u_request*>(source)->map_url, name);
}

class HttpServer::Impl {
 public:
  Impl(HttpServerOptions options, Handler handler)
      : options_(std::move(options)), handler_(std::move(handler)) {}

  bool Start();
  void Stop();
  void CloseConnections();
  int OpenConnections() const;

 private:
  static int OnRequest(const _u_request* request, _u_response* response,
                       void* impl);
  static void OnConnection(void* impl, MHD_Connection* connection,
                           void** context, MHD_ConnectionNotificationCode code);

  void Add(MHD_Connection* connection, void** context);
  void Remove(void** context);
  std::shared_ptr<Connection> Find(const sockaddr* client) const;

  const HttpServerOptions options_;
  const Handler handler_;
  sockaddr_in address_{};
  _u_instance instance_{};
  bool running_ = false;
  mutable std::mutex mutex_;
  // Key: the port of the client.
  std::map<std::uint16_t, std::shared_ptr<Connection>> connections_;
};

bool HttpServer::Impl::Start() {
  address_ = {};
  address_.sin_family = AF_INET;
  address_.sin_port = htons(options_.listen.port);
  inet_pton(AF_INET, options_.listen.address.c_str(), &address_.sin_addr);
  if (ulfius_init_instance(&instance_, options_.listen.port, &address_,
                           nullptr) != U_OK) {
    return false;
  }
  instance_.check_utf8 = 0;
  instance_.max_post_body_size = kMaxBodyBytes;
  instance_.allowed_post_processor = U_POST_PROCESS_NONE;
  ulfius_set_default_endpoint(&instance_, &OnRequest, this);
  const auto number = [](auto value) { return static_cast<intptr_t>(value); };
  MHD_OptionItem mhd_options[] = {
      {MHD_OPTION_NOTIFY_COMPLETED,
       reinterpret_cast<intptr_t>(&mhd_request_completed), nullptr},
      {MHD_OPTION_URI_LOG_CALLBACK,
       reinterpret_cast<intptr_t>(&ulfius_uri_logger), nullptr},
      {MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<intptr_t>(&OnConnection),
       this},
      {MHD_OPTION_SOCK_ADDR, 0, &address_},
      {MHD_OPTION_CONNECTION_LIMIT, number(options_.max_connections), nullptr},
      {MHD_OPTION_THREAD_STACK_SIZE, number(kThreadStackBytes), nullptr},
      {MHD_OPTION_END, 0, nullptr}};
  const unsigned int flags = MHD_USE_THREAD_PER_CONNECTION |
                             MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
  running_ = ulfius_start_framework_with_mhd_options(&instance_, flags,
                                                     mhd_options) == U_OK;
  if (!running_) ulfius_clean_instance(&instance_);
  return running_;
}

void HttpServer::Impl::Stop() {
  if (!running_) return;
  running_ = false;
  CloseConnections();
  ulfius_stop_framework(&instance_);
  ulfius_clean_instance(&instance_);
}

void HttpServer::Impl::CloseConnections() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [port, connection] : connections_) connection->Close();
}

int HttpServer::Impl::OpenConnections() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<int>(connections_.size());
}

int HttpServer::Impl::OnRequest(const _u_request* request,
                                _u_response* response, void* impl) {
  auto* self = static_cast<Impl*>(impl);
  HttpRequest wrapped;
  wrapped.method = request->http_verb;
  wrapped.path = request->url_path;
  wrapped.body = std::string_view(static_cast<char*>(request->binary_body),
                                  request->binary_body_length);
  wrapped.connection = self->Find(request->client_address);
  wrapped.source = request;
  if (wrapped.connection == nullptr) return U_CALLBACK_ERROR;
  SetResponse(self->handler_(wrapped), response);
  return U_CALLBACK_COMPLETE;
}

void HttpServer::Impl::OnConnection(void* impl, MHD_Connection* connection,
                                    void** context,
                                    MHD_ConnectionNotificationCode code) {
  auto* self = static_cast<Impl*>(impl);
  if (code == MHD_CONNECTION_NOTIFY_STARTED) {
    self->Add(connection, context);
  } else {
    self->Remove(context);
  }
}

void HttpServer::Impl::Add(MHD_Connection* connection, void** context) {
  const MHD_ConnectionInfo* socket =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  const MHD_ConnectionInfo* client =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  const std::uint16_t port = PortOf(client->client_addr);
  *context = new std::uint16_t(port);
  const std::lock_guard<std::mutex> lock(mutex_);
  connections_[port] = std::make_shared<Connection>(socket->connect_fd);
}

void HttpServer::Impl::Remove(void** context) {
  const std::unique_ptr<std::uint16_t> port(
      static_cast<std::uint16_t*>(*context));
  *context = nullptr;
  const std::lock_guard<std::mutex> lock(mutex_);
  if (port != nullptr) connections_.erase(*port);
}

std::shared_ptr<Connection> HttpServer::Impl::Find(
    const sockaddr* client) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = connections_.find(PortOf(client));
  return found == connections_.end() ? nullptr : found->second;
}

HttpServer::HttpServer(HttpServerOptions options, Handler handler)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(handler))) {}

HttpServer::~HttpServer() { Stop(); }

bool HttpServer::Start() { return impl_->Start(); }

void HttpServer::Stop() { impl_->Stop(); }

void HttpServer::CloseConnections() { impl_->CloseConnections(); }

int HttpServer::OpenConnections() const { return impl_->OpenConnections(); }

}  // namespace heatherlatch::standins
