// Sends one HTTP request from a test.
//
// Thread safety: pure functions.
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
  bool complete = false;  // A whole answer arrived.
  long status = 0;        // NOLINT(google-runtime-int): the type of libcurl.
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;

  // @return a header by its name in lower case, or an empty text
  std::string Header(const std::string& name) const;
  std::string Outcome() const { return Header("heatherlatch-outcome"); }
  std::string Reason() const { return Header("heatherlatch-reason"); }
};

HttpResponse SendHttp(const Endpoint& endpoint, const HttpCall& call);

}  // namespace heatherlatch::testing

#endif  // TESTS_HARNESS_HTTP_CALL_H_
