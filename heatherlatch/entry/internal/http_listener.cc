#include "heatherlatch/entry/internal/http_listener.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <unistd.h>

#include <utility>
#include <vector>

#include "heatherlatch/entry/caller_server.h"

namespace heatherlatch {
namespace {

// Memory for the head of one request; a larger head gets status 431.
constexpr std::size_t kMaxHeadBytes = 32 * 1024;
constexpr std::size_t kThreadStackBytes = 512 * 1024;

thread_local int socket_of_this_thread = -1;

// Records the socket of the connection, which the calling thread serves, and
// passes the call on to ulfius.
void* OnUri(void* data, const char* uri, MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  socket_of_this_thread = info == nullptr ? -1 : info->connect_fd;
  return ulfius_uri_logger(data, uri);
}

}  // namespace

HttpListener::HttpListener(HttpListenerOptions options)
    : options_(std::move(options)) {
  address_.sin_family = AF_INET;
  address_.sin_port = htons(options_.listen.port);
  const int parsed =
      inet_pton(AF_INET, options_.listen.address.c_str(), &address_.sin_addr);
  if (parsed != 1) return;
  initialised_ = ulfius_init_instance(&instance_, options_.listen.port,
                                      &address_, nullptr) == U_OK;
  instance_.max_post_body_size = options_.max_body_bytes;
  instance_.allowed_post_processor = U_POST_PROCESS_NONE;
}

HttpListener::~HttpListener() {
  Stop();
  if (initialised_) ulfius_clean_instance(&instance_);
}

void HttpListener::Add(const char* method, const char* path, Handler handler,
                       void* data) {
  if (!initialised_) return;
  ulfius_add_endpoint_by_val(&instance_, method, nullptr, path, 0, handler,
                             data);
}

void HttpListener::SetDefault(Handler handler, void* data) {
  if (!initialised_) return;
  ulfius_set_default_endpoint(&instance_, handler, data);
}

Result<void> HttpListener::Start() {
  if (!initialised_) {
    return Fail(ServerError{ServerProblem::kBadAddress, options_.listen});
  }
  const auto item = [](MHD_OPTION option, std::intptr_t value, void* pointer) {
    return MHD_OptionItem{option, value, pointer};
  };
  std::vector<MHD_OptionItem> mhd_options = {
      item(MHD_OPTION_NOTIFY_COMPLETED,
           reinterpret_cast<std::intptr_t>(&mhd_request_completed), nullptr),
      item(MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<std::intptr_t>(&OnUri),
           nullptr),
      item(MHD_OPTION_SOCK_ADDR, 0, &address_),
      item(MHD_OPTION_CONNECTION_LIMIT, options_.max_connections, nullptr),
      item(MHD_OPTION_CONNECTION_TIMEOUT, options_.idle_timeout.count(),
           nullptr),
      item(MHD_OPTION_CONNECTION_MEMORY_LIMIT, kMaxHeadBytes, nullptr),
      item(MHD_OPTION_THREAD_STACK_SIZE, kThreadStackBytes, nullptr),
      item(MHD_OPTION_STRICT_FOR_CLIENT, 1, nullptr),
      item(MHD_OPTION_END, 0, nullptr),
  };
  const unsigned int flags = MHD_USE_THREAD_PER_CONNECTION |
                             MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
                             MHD_USE_ITC;
  const int started = ulfius_start_framework_with_mhd_options(
      &instance_, flags, mhd_options.data());
  if (started != U_OK) {
    return Fail(ServerError{ServerProblem::kListenFailed, options_.listen});
  }
  running_ = true;
  return {};
}

void HttpListener::StopListening() {
  if (!running_) return;
  const MHD_socket socket = MHD_quiesce_daemon(instance_.mhd_daemon);
  if (socket != MHD_INVALID_SOCKET) close(socket);
}

void HttpListener::Stop() {
  if (!running_) return;
  ulfius_stop_framework(&instance_);
  running_ = false;
}

int HttpListener::SocketOfThisThread() { return socket_of_this_thread; }

}  // namespace heatherlatch
