// Configuration of the websocket library for the transport: one thread, no
// compression, no logs.
#ifndef HEATHERLATCH_PEER_INTERNAL_WEBSOCKET_H_
#define HEATHERLATCH_PEER_INTERNAL_WEBSOCKET_H_

#include <cstdint>
#include <memory>
#include <random>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/server.hpp>

namespace heatherlatch::peer_internal {

class Link;

// Generates the masking keys of websocket frames. Masking prevents an
// intermediary from parsing a client's bytes as HTTP; hosts connect to one
// another without intermediaries, so a fast generator suffices.
class MaskingKeys {
 public:
  std::uint32_t operator()() {
    thread_local std::mt19937 generator{std::random_device()()};
    return generator();
  }
};

// The transport's data of each connection of the library.
struct ConnectionData {
  std::shared_ptr<Link> link;
};

// Every connection is used on the I/O thread only, so the library needs no
// locks and no strands.
// The library prescribes the names and types of the members.
// NOLINTBEGIN(readability-identifier-naming, google-runtime-int)
struct WebsocketConfig : public websocketpp::config::asio {
  using type = WebsocketConfig;
  using base = websocketpp::config::asio;
  using concurrency_type = websocketpp::concurrency::none;
  using elog_type =
      websocketpp::log::basic<concurrency_type, websocketpp::log::elevel>;
  using alog_type =
      websocketpp::log::basic<concurrency_type, websocketpp::log::alevel>;
  using rng_type = MaskingKeys;
  using connection_base = ConnectionData;

  struct transport_config : public base::transport_config {
    using concurrency_type = type::concurrency_type;
    using alog_type = type::alog_type;
    using elog_type = type::elog_type;
    using request_type = type::request_type;
    using response_type = type::response_type;
    using socket_type = websocketpp::transport::asio::basic_socket::endpoint;
    static constexpr bool enable_multithreading = false;
  };
  using transport_type =
      websocketpp::transport::asio::endpoint<transport_config>;

  static constexpr bool enable_multithreading = false;
  static constexpr bool drop_on_protocol_error = true;
  static constexpr long timeout_open_handshake = 5000;   // Milliseconds.
  static constexpr long timeout_close_handshake = 1000;  // Milliseconds.
  static constexpr websocketpp::log::level elog_level =
      websocketpp::log::elevel::none;
  static constexpr websocketpp::log::level alog_level =
      websocketpp::log::alevel::none;
};
// NOLINTEND(readability-identifier-naming, google-runtime-int)

using WebsocketServer = websocketpp::server<WebsocketConfig>;
using WebsocketClient = websocketpp::client<WebsocketConfig>;
using Connection = websocketpp::connection<WebsocketConfig>;
using ConnectionPtr = Connection::ptr;
using WebsocketMessage = WebsocketConfig::message_type;
using WebsocketMessagePtr = WebsocketMessage::ptr;
using WebsocketProcessor = websocketpp::processor::hybi13<WebsocketConfig>;

}  // namespace heatherlatch::peer_internal

#endif  // HEATHERLATCH_PEER_INTERNAL_WEBSOCKET_H_
