#include "heatherlatch/traffic/response_classification.h"

#include <catch2/catch.hpp>
#include <string>
#include <variant>

#include "heatherlatch/traffic/http_status.h"

namespace heatherlatch {
namespace {

bool IsDefined(unsigned status) { return status >= 200 && status < 600; }

std::string NameOf(const ResponseProof& proof) {
  struct Visitor {
    std::string operator()(const Answered&) const { return "answered"; }
    std::string operator()(const FailedByServer&) const { return "failed"; }
    std::string operator()(const NotExecuted&) const { return "not-executed"; }
    std::string operator()(const RefusedWithoutProof&) const {
      return "refused-without-proof";
    }
    std::string operator()(const NotTrusted& proof) const {
      return std::string(proof.reason);
    }
  };
  return std::visit(Visitor{}, proof);
}

std::string Classify(unsigned status, bool is_signed, bool not_run,
                     const std::string& carried_id) {
  wire::ServerResponseFields fields;
  fields.request_id = carried_id;
  fields.is_signed = is_signed;
  fields.not_run = not_run;
  return NameOf(ClassifyResponse(status, fields, "id-1"));
}

// Calls `check` for each status of three digits, with and without a signature.
template <typename Check>
void ForEachStatus(Check check) {
  for (unsigned status = 0; status < 1000; ++status) {
    for (const bool is_signed : {false, true}) {
      CAPTURE(status, is_signed);
      check(status, is_signed);
    }
  }
}

TEST_CASE("a response with another request ID or none proves nothing") {
  ForEachStatus([](unsigned status, bool is_signed) {
    for (const bool not_run : {false, true}) {
      CHECK(Classify(status, is_signed, not_run, "id-2") == "other-request");
      CHECK(Classify(status, is_signed, not_run, "") == "other-request");
    }
  });
}

TEST_CASE(
    "a response that states non-execution is believed if its status fits") {
  ForEachStatus([](unsigned status, bool is_signed) {
    CHECK(Classify(status, is_signed, true, "id-1") ==
          (!IsDefined(status) ? "undefined-status"
           : status < 400     ? "contradictory-refusal"
                              : "not-executed"));
  });
}

TEST_CASE("a response with the ID of the request is classified by its status") {
  ForEachStatus([](unsigned status, bool is_signed) {
    const bool promises_not_run =
        status == 408 || status == 421 || status == 429 || status == 503;
    const std::string expected = !IsDefined(status) ? "undefined-status"
                                 : promises_not_run ? "refused-without-proof"
                                 : status >= 500    ? "failed"
                                 : is_signed        ? "answered"
                                                    : "unsigned";
    CHECK(Classify(status, is_signed, false, "id-1") == expected);
  });
}

TEST_CASE("a response says of its server what the server itself stated") {
  const BackendServerName server("i-1");
  wire::ServerResponseFields fields;
  fields.request_id = "id-1";
  const auto is_statement = [&](unsigned status) {
    return IsStatementOf(server, status, fields, "id-1");
  };
  CHECK(is_statement(GENERATE(200, 404, 429, 500, 503)));
  CHECK_FALSE(is_statement(GENERATE(0, 99, 600)));
  CHECK_FALSE(is_statement(kMisdirectedRequest));
  fields.server = server;
  CHECK(is_statement(kMisdirectedRequest));
  fields.server = BackendServerName("i-2");
  CHECK_FALSE(is_statement(kOk));
  fields.server = server;
  fields.request_id = GENERATE("", "id-2");
  CHECK_FALSE(is_statement(kOk));
}

}  // namespace
}  // namespace heatherlatch
