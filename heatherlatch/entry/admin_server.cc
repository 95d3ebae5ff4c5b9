#include "heatherlatch/entry/admin_server.h"

#include <utility>

namespace heatherlatch {
namespace {

HttpListenerOptions OptionsOf(Endpoint listen) {
  HttpListenerOptions options;
  options.listen = std::move(listen);
  return options;
}

int SetTextResponse(const std::string& text, const char* type,
                    _u_response* response) {
  u_map_put(response->map_header, "Content-Type", type);
  ulfius_set_binary_body_response(response, 200, text.data(), text.size());
  return U_CALLBACK_COMPLETE;
}

}  // namespace

AdminServer::AdminServer(Endpoint listen, std::function<std::string()> status,
                         const Metrics* metrics)
    : status_(std::move(status)),
      metrics_(metrics),
      listener_(OptionsOf(std::move(listen))) {
  listener_.Add("GET", "/status", &OnStatus, this);
  listener_.Add("GET", "/metrics", &OnMetrics, this);
}

int AdminServer::OnStatus(const _u_request*, _u_response* response,
                          void* data) {
  auto* self = static_cast<AdminServer*>(data);
  return SetTextResponse(self->status_(), "application/json", response);
}

int AdminServer::OnMetrics(const _u_request*, _u_response* response,
                           void* data) {
  auto* self = static_cast<AdminServer*>(data);
  return SetTextResponse(self->metrics_->Serialize(),
                         "text/plain; version=0.0.4", response);
}

}  // namespace heatherlatch
