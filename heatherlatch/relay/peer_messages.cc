#include "heatherlatch/relay/peer_messages.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace heatherlatch {
namespace {

using Json = nlohmann::json;

std::string ToBytes(const Json& message) {
  const std::vector<std::uint8_t> bytes = Json::to_cbor(message);
  return std::string(bytes.begin(), bytes.end());
}

Json ToBinary(const std::string& text) {
  return Json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
}

std::string FromBinary(const Json& value) {
  const auto& bytes = value.get_binary();
  return std::string(bytes.begin(), bytes.end());
}

// An item is [key, revision, value], without the value where it is deleted.
Json ToJson(const PublishedItem& item) {
  Json encoded = {item.key, item.revision};
  if (!item.is_deleted) encoded.push_back(ToBinary(item.value));
  return encoded;
}

PublishedItem ToItem(const Json& encoded) {
  PublishedItem item;
  item.key = encoded.at(0).get<std::string>();
  item.revision = encoded.at(1).get<std::uint64_t>();
  item.is_deleted = encoded.size() < 3;
  if (!item.is_deleted) item.value = FromBinary(encoded.at(2));
  return item;
}

// A notice is [service, digest, crashes, age in milliseconds].
Json ToJson(const std::vector<SuspectNotice>& notices) {
  Json encoded = Json::array();
  for (const SuspectNotice& notice : notices) {
    encoded.push_back(
        {notice.service.str(), notice.digest, notice.crashes,
         std::chrono::duration_cast<std::chrono::milliseconds>(notice.age)
             .count()});
  }
  return encoded;
}

// Hosts of an earlier version send no suspects.
std::vector<SuspectNotice> ToNotices(const Json& message) {
  std::vector<SuspectNotice> notices;
  if (!message.contains("suspects")) return notices;
  for (const Json& encoded : message.at("suspects")) {
    notices.push_back(
        {encoded.at(1).get<ContentDigest>(),
         ServiceName(encoded.at(0).get<std::string>()),
         encoded.at(2).get<int>(),
         std::chrono::milliseconds(encoded.at(3).get<std::uint32_t>())});
  }
  return notices;
}

}  // namespace

bool IsUpToDate(const FeedResponse& response) {
  return response.age <= kMaxConfirmationAge && response.hops <= kMaxHops;
}

std::string Encode(const FeedRequest& request) {
  Json json = {{"from", ToString(request.requester)},
               {"after", request.after_revision},
               {"wait", static_cast<std::int64_t>(request.wait.count())}};
  if (!request.suspects.empty()) {
    json["suspects"] = ToJson(request.suspects);
  }
  return ToBytes(json);
}

std::string Encode(const FeedResponse& response) {
  Json items = Json::array();
  for (const PublishedItem& item : response.page.items) {
    items.push_back(ToJson(item));
  }
  Json json = {{"rev", response.page.revision},
               {"whole", response.page.is_complete},
               {"age", static_cast<std::int64_t>(response.age.count())},
               {"hops", response.hops},
               {"away", response.store_was_unavailable},
               {"items", std::move(items)}};
  if (!response.suspects.empty()) json["suspects"] = ToJson(response.suspects);
  return ToBytes(json);
}

Result<FeedRequest> DecodeFeedRequest(std::string_view bytes) {
  try {
    const Json message = Json::from_cbor(bytes);
    FeedRequest request;
    request.after_revision = message.at("after").get<std::uint64_t>();
    request.wait =
        std::chrono::milliseconds(message.at("wait").get<std::uint32_t>());
    BOOST_LEAF_ASSIGN(request.requester,
                      ParseEndpoint(message.at("from").get<std::string>()));
    request.suspects = ToNotices(message);
    return request;
  } catch (const Json::exception& error) {
    return Fail(PeerMessageError{error.what()});
  }
}

Result<FeedResponse> DecodeFeedResponse(std::string_view bytes) {
  try {
    const Json message = Json::from_cbor(bytes);
    FeedResponse response;
    response.page.revision = message.at("rev").get<std::uint64_t>();
    response.page.is_complete = message.at("whole").get<bool>();
    response.age =
        std::chrono::milliseconds(message.at("age").get<std::int64_t>());
    response.hops = message.at("hops").get<int>();
    response.store_was_unavailable = message.at("away").get<bool>();
    response.suspects = ToNotices(message);
    for (const Json& item : message.at("items")) {
      response.page.items.push_back(ToItem(item));
    }
    return response;
  } catch (const Json::exception& error) {
    return Fail(PeerMessageError{error.what()});
  }
}

}  // namespace heatherlatch
