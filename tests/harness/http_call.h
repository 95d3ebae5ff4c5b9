// Sends one HTTP request from a test.
//
// Thread safety: `SendHttp` may be called from any thread.
#ifndef TESTS_HARNESS_HTTP_CALL_H_
#define TESTS_HARNESS_HTTP_CALL_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "heatherlatch/base/endpoint.h"

namespace heatherlatch::testing {

struct HttpCall {
  std::string method = "GET";
  std::string target = "/";
  std::vector<std::string> headers;  // "Name: value"
  std::string body;
  std::chrono::milliseconds timeout = std::chrono::seconds(60);
};

struct HttpResponse {
  bool complete = false;  // The response arrived completely.
  long status = 0;        // NOLINT(google-runtime-int): the type of libcurl.
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;

  // @param name  in lower case
  // @return the value of the header, or an empty string if absent
  std::string Header(const std::string& name) const;
  std::string Outcome() const { return Header("heatherlatch-outcome"); }
  std::string Reason() const { return Header("heatherlatch-reason"); }
};

// Sends a request on a new connection and waits for its response.
// @return the response; `complete` is false after an error or a timeout
HttpResponse SendHttp(const Endpoint& endpoint, const HttpCall& call);

}  // namespace heatherlatch::testing

#endif  // TESTS_HARNESS_HTTP_CALL_H_
