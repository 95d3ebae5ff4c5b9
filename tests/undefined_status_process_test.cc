// Tests that no caller of an entry host gets a response whose status HTTP does
// not define, and that such a response proves nothing about a request.
#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <regex>
#include <string>
#include <vector>

#include "heatherlatch/backend/testing/raw_server.h"
#include "tests/harness/local_deployment.h"

namespace heatherlatch::testing {
namespace {

// What stands behind "HTTP/1.1" in the first line of a response.
const char* const kBadStatuses[] = {
    " 000 Zero",    " 000",     " 001 One", " 099 Low", " 600 High",
    " 999 Highest", " 20 OK",   " 2000 OK", "  ",       "  200 OK",
    " -20 OK",      " -200 OK", " +20 OK",  " abc OK",  " 2O0 OK",
    " 0x0 OK",      "",         " 200\tOK"};

// Fields that would tell something if they came with another status.
const char* const kFields[] = {"", "X-Not-Run: shed\r\n"};

std::string Response(const std::string& status, const std::string& fields) {
  return "HTTP/1.1" + status + "\r\n" + fields + "Content-Length: 3\r\n\r\nbad";
}

const std::string kRight = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright";

// Entry hosts whose backend servers answer by a script.
class ScriptedDeployment {
 public:
  // @param script  responds to each request that is not a probe
  // @param probed  responds to each probe
  using Respond = std::function<std::string(const std::string& head)>;
  explicit ScriptedDeployment(Respond respond, std::string probed = kRight)
      : respond_(std::move(respond)), probed_(std::move(probed)) {
    deployment_.StartAll();
    const std::regex server(R"((name: [a-z]+-\d+, zone: [a-z-]+, endpoint: ")"
                            R"()[^"]*)");
    std::string objects;
    const std::string old = deployment_.Objects({});
    auto at = old.cbegin();
    for (std::sregex_iterator it(old.begin(), old.end(), server), end;
         it != end; ++it) {
      servers_.push_back(std::make_unique<RawServer>(
          [this](RawConnection& connection) { Serve(&connection); }));
      objects.append(at, (*it)[1].second);
      objects += ToString(servers_.back()->endpoint());
      at = (*it)[0].second;
    }
    objects.append(at, old.cend());
    const std::uint64_t revision = deployment_.PublishText(objects);
    for (std::size_t i = 0; i < deployment_.host_count(); ++i) {
      REQUIRE(Eventually([&] {
        return deployment_.Status(i).value("revision", std::uint64_t{0}) ==
               revision;
      }));
    }
  }

  LocalDeployment& deployment() { return deployment_; }
  int sends() const { return sends_; }

 private:
  void Serve(RawConnection* connection) {
    for (std::string head; !(head = connection->ReadRequest()).empty();) {
      const bool is_probe = head.rfind("GET /health ", 0) == 0;
      if (!is_probe) ++sends_;
      connection->Send(is_probe ? probed_ : respond_(head));
    }
  }

  const Respond respond_;
  const std::string probed_;
  std::atomic<int> sends_{0};
  std::vector<std::unique_ptr<RawServer>> servers_;
  LocalDeployment deployment_;
};

TEST_CASE("no caller of an entry host gets a status that HTTP does not define",
          "[promise-05][promise-06]") {
  std::atomic<const char*> status{""};
  std::atomic<const char*> fields{""};
  ScriptedDeployment scripted([&](const std::string&) {
    return Response(status.load(), fields.load());
  });
  for (const char* bad_status : kBadStatuses) {
    for (const char* more : kFields) {
      status = bad_status;
      fields = more;
      CAPTURE(bad_status, more);
      LocalDeployment& deployment = scripted.deployment();
      int before = scripted.sends();
      const HttpResponse read = deployment.Read(0);
      CHECK(read.status == 502);
      CHECK(read.Outcome() == "unknown");
      CHECK(scripted.sends() > before);
      const HttpResponse download = deployment.Download(0);
      CHECK(download.status == 502);
      CHECK(download.Outcome() == "unknown");
      const std::string ticket = deployment.IssueTicket(0);
      before = scripted.sends();
      const HttpResponse write = deployment.WriteTicket(0, ticket);
      CHECK(write.status == 502);
      CHECK(write.Outcome() == "unknown");
      CHECK(scripted.sends() == before + 1);
    }
  }
}

TEST_CASE("a read through an entry host is sent again after a status 000") {
  std::atomic<int> sends{0};
  ScriptedDeployment scripted([&](const std::string&) {
    return ++sends % 2 == 1 ? Response(" 000 Zero", "") : kRight;
  });
  for (int i = 0; i < 10; ++i) {
    const HttpResponse read = scripted.deployment().Read(0);
    CHECK(read.status == 200);
    CHECK(read.body == "right");
  }
}

TEST_CASE("a surplus status 000 belongs to no request of an entry host",
          "[promise-05]") {
  const std::string zero = Response(" 000 Zero", "");
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nright\r\n0\r\n";
  const std::string response =
      GENERATE_COPY(kRight + zero, chunked + "HTTP/1.1 000 Zero\r\n\r\n",
                    chunked + "\r\n" + zero);
  INFO(response);
  ScriptedDeployment scripted([&](const std::string&) { return response; });
  for (int i = 0; i < 20; ++i) {
    // Contents that were lost with their servers before are refused.
    const std::string content = std::to_string(i);
    const HttpResponse read =
        scripted.deployment().Read(0, "/reads/" + content);
    CAPTURE(read.status, read.body, read.Outcome(), read.Reason());
    CHECK((read.status == 200 || read.status == 502));
    if (read.status == 200) CHECK(read.body == "right");
    const std::string ticket = scripted.deployment().IssueTicket(0);
    const HttpResponse write =
        scripted.deployment().WriteTicket(0, ticket, content);
    CAPTURE(write.status, write.body, write.Outcome(), write.Reason());
    CHECK((write.status == 200 || write.status == 502));
    if (write.status == 200) CHECK(write.body == "right");
  }
}

TEST_CASE("interim responses without end are no response of an entry host") {
  ScriptedDeployment scripted([](const std::string&) {
    std::string interim;
    for (int i = 0; i < 20000; ++i) {
      interim += "HTTP/1.1 103 Early\r\nX-Filler: 1\r\n\r\n";
    }
    return interim;
  });
  const HttpResponse read = scripted.deployment().Read(0);
  CHECK((read.status == 502 || read.status == 504));
  CHECK(read.Outcome() == "unknown");
}

}  // namespace
}  // namespace heatherlatch::testing
