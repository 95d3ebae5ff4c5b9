#include "tests/harness/http_call.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <memory>

namespace heatherlatch::testing {
namespace {

std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                   void* response) {
  static_cast<HttpResponse*>(response)->body.append(data, size * count);
  return size * count;
}

std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                     void* response) {
  const std::string line(data, size * count);
  const auto colon = line.find(": ");
  if (colon == std::string::npos) return line.size();
  std::string name = line.substr(0, colon);
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  const auto end = line.find_last_not_of("\r\n");
  static_cast<HttpResponse*>(response)->headers[name] =
      line.substr(colon + 2, end - colon - 1);
  return line.size();
}

}  // namespace

std::string HttpResponse::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

HttpResponse SendHttp(const Endpoint& endpoint, const HttpCall& call) {
  HttpResponse response;
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> curl(
      curl_easy_init(), &curl_easy_cleanup);
  curl_slist* headers = nullptr;
  for (const std::string& header : call.headers) {
    headers = curl_slist_append(headers, header.c_str());
  }
  headers = curl_slist_append(headers, "Expect:");
  const std::string url = "http://" + ToString(endpoint) + call.target;
  curl_easy_setopt(curl.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT_MS,
                   static_cast<long>(  // NOLINT(google-runtime-int)
                       call.timeout.count()));
  curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &response);
  curl_easy_setopt(curl.get(), CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(curl.get(), CURLOPT_HEADERDATA, &response);
  if (call.method != "GET") {
    curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(  // NOLINT(google-runtime-int)
                         call.body.size()));
    curl_easy_setopt(curl.get(), CURLOPT_COPYPOSTFIELDS, call.body.c_str());
    curl_easy_setopt(curl.get(), CURLOPT_CUSTOMREQUEST, call.method.c_str());
  }
  response.complete = curl_easy_perform(curl.get()) == CURLE_OK;
  curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &response.status);
  curl_slist_free_all(headers);
  return response;
}

}  // namespace heatherlatch::testing
