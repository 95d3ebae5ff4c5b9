#include "heatherlatch/relay/peer_messages.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

namespace heatherlatch {
namespace {

using Json = nlohmann::json;

// The parser recurses for each level; the bound prevents a stack overflow.
constexpr int kMaxNesting = 16;

// Ends the parsing of a message that is nested too deeply.
class NestingBound : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(std::int64_t) override { return true; }
  bool number_unsigned(std::uint64_t) override { return true; }
  bool number_float(double, const std::string&) override { return true; }
  bool string(std::string&) override { return true; }
  bool binary(Json::binary_t&) override { return true; }
  bool key(std::string&) override { return true; }
  bool start_object(std::size_t) override { return ++depth_ <= kMaxNesting; }
  bool start_array(std::size_t) override { return ++depth_ <= kMaxNesting; }
  bool end_object() override { return --depth_ >= 0; }
  bool end_array() override { return --depth_ >= 0; }
  bool parse_error(std::size_t, const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  int depth_ = 0;
};

// Throws Json::exception where the bytes are not CBOR, or nested too deeply.
Json FromBytes(std::string_view bytes) {
  NestingBound bound;
  if (!Json::sax_parse(bytes, &bound, Json::input_format_t::cbor)) {
    throw Json::other_error::create(
        501, "the message is not CBOR, or is nested too deeply", nullptr);
  }
  return Json::from_cbor(bytes);
}

// Throws Json::exception where the value is not a whole number from 0 to `max`.
std::uint64_t ToCount(const Json& value, std::uint64_t max) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max) {
    throw Json::type_error::create(
        302, "a number is not from 0 to " + std::to_string(max), &value);
  }
  return value.get<std::uint64_t>();
}

// The largest numbers that a host states.
constexpr std::uint64_t kMaxRevision = std::uint64_t{1} << 53;
constexpr std::uint64_t kMaxMilliseconds = 86'400'000;
constexpr std::uint64_t kMaxCount = 1'000'000;

std::chrono::milliseconds ToDuration(const Json& value) {
  return std::chrono::milliseconds(ToCount(value, kMaxMilliseconds));
}

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
  item.revision = ToCount(encoded.at(1), kMaxRevision);
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
    notices.push_back({encoded.at(1).get<ContentDigest>(),
                       ServiceName(encoded.at(0).get<std::string>()),
                       static_cast<int>(ToCount(encoded.at(2), kMaxCount)),
                       ToDuration(encoded.at(3))});
  }
  return notices;
}

Json ToJson(const std::vector<BackendServerName>& servers) {
  Json encoded = Json::array();
  for (const BackendServerName& server : servers) {
    encoded.push_back(server.str());
  }
  return encoded;
}

// Hosts of an earlier version send no servers.
std::vector<BackendServerName> ToServers(const Json& message,
                                         const std::string& field) {
  std::vector<BackendServerName> servers;
  if (!message.contains(field)) return servers;
  for (const Json& server : message.at(field)) {
    servers.emplace_back(server.get<std::string>());
  }
  return servers;
}

// Throws Json::exception where the value is not an array of a few entries.
const Json& ToBudgetEntries(const Json& entries) {
  if (!entries.is_array() || entries.size() > kMaxBudgetAsks) {
    throw Json::type_error::create(
        302, "the tokens are not an array of a few entries", &entries);
  }
  return entries;
}

BudgetKey ToBudgetKey(const Json& entry) {
  constexpr auto kLastKind = static_cast<std::uint64_t>(BudgetKind::kAllotment);
  BudgetKey key;
  key.kind = static_cast<BudgetKind>(ToCount(entry.at(0), kLastKind));
  key.subject = entry.at(1).get<std::string>();
  if (key.subject.size() > kMaxBudgetSubjectBytes) {
    throw Json::type_error::create(302, "the name of a bound is too long",
                                   &entry);
  }
  return key;
}

// An ask is [kind, subject, wanted].
Json ToJson(const std::vector<BudgetAsk>& asks) {
  Json encoded = Json::array();
  for (const BudgetAsk& ask : asks) {
    encoded.push_back(
        {static_cast<unsigned>(ask.key.kind), ask.key.subject, ask.wanted});
  }
  return encoded;
}

// Hosts of an earlier version ask for no tokens.
std::vector<BudgetAsk> ToAsks(const Json& message) {
  std::vector<BudgetAsk> asks;
  if (!message.contains("budget")) return asks;
  for (const Json& entry : ToBudgetEntries(message.at("budget"))) {
    asks.push_back({ToBudgetKey(entry),
                    static_cast<int>(ToCount(entry.at(2), kMaxBudgetTokens))});
  }
  return asks;
}

// A grant is [kind, subject, granted, milliseconds until the next].
Json ToJson(const std::vector<BudgetGrant>& grants) {
  Json encoded = Json::array();
  for (const BudgetGrant& grant : grants) {
    const Duration until_next =
        std::clamp<Duration>(grant.until_next, Duration::zero(),
                             std::chrono::milliseconds(kMaxMilliseconds));
    encoded.push_back(
        {static_cast<unsigned>(grant.key.kind), grant.key.subject,
         grant.granted,
         std::chrono::ceil<std::chrono::milliseconds>(until_next).count()});
  }
  return encoded;
}

std::vector<BudgetGrant> ToGrants(const Json& message) {
  std::vector<BudgetGrant> grants;
  if (!message.contains("grants")) return grants;
  for (const Json& entry : ToBudgetEntries(message.at("grants"))) {
    grants.push_back({ToBudgetKey(entry),
                      static_cast<int>(ToCount(entry.at(2), kMaxBudgetTokens)),
                      ToDuration(entry.at(3))});
  }
  return grants;
}

// An ask is [digest, age in milliseconds]. Hosts of an earlier version ask for
// no isolated runs.
std::optional<IsolatedRunAsk> ToIsolatedRunAsk(const Json& message) {
  if (!message.contains("alone")) return std::nullopt;
  const Json& encoded = message.at("alone");
  return IsolatedRunAsk{encoded.at(0).get<ContentDigest>(),
                        ToDuration(encoded.at(1))};
}

// A report is [digest, end].
std::optional<IsolatedRunReport> ToIsolatedRunReport(const Json& message) {
  if (!message.contains("alone_ended")) return std::nullopt;
  constexpr auto kLast = static_cast<std::uint64_t>(IsolatedRunEnd::kCrashed);
  const Json& encoded = message.at("alone_ended");
  return IsolatedRunReport{
      encoded.at(0).get<ContentDigest>(),
      static_cast<IsolatedRunEnd>(ToCount(encoded.at(1), kLast))};
}

std::optional<IsolatedRunAnswer> ToIsolatedRunAnswer(const Json& message) {
  if (!message.contains("alone")) return std::nullopt;
  constexpr auto kLast =
      static_cast<std::uint64_t>(IsolatedRunAnswer::kCleared);
  return static_cast<IsolatedRunAnswer>(ToCount(message.at("alone"), kLast));
}

std::optional<Endpoint> ToEndpoint(const Json& encoded) {
  if (!encoded.is_string()) return std::nullopt;
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::optional<Endpoint>> {
        BOOST_LEAF_AUTO(endpoint, ParseEndpoint(encoded.get<std::string>()));
        return std::optional<Endpoint>(std::move(endpoint));
      },
      [] { return std::optional<Endpoint>(); });
}

Json ToJson(const std::vector<HeldValue>& values) {
  Json encoded = Json::array();
  for (const HeldValue& value : values) {
    encoded.push_back({value.key, value.revision});
  }
  return encoded;
}

// Hosts of an earlier version state no values.
std::optional<std::vector<HeldValue>> ToHeldValues(const Json& message) {
  if (!message.contains("held")) return std::nullopt;
  std::vector<HeldValue> values;
  for (const Json& encoded : message.at("held")) {
    if (values.size() == kMaxHeldValues) break;
    values.push_back({encoded.at(0).get<std::string>(),
                      ToCount(encoded.at(1), kMaxRevision)});
  }
  return values;
}

// A difference is [key, revision, revision of the value held, bytes].
Json ToJson(const ItemDelta& delta) {
  return {delta.key, delta.revision, delta.base_revision,
          ToBinary(delta.bytes)};
}

ItemDelta ToDelta(const Json& encoded) {
  return {encoded.at(0).get<std::string>(),
          ToCount(encoded.at(1), kMaxRevision),
          ToCount(encoded.at(2), kMaxRevision), FromBinary(encoded.at(3))};
}

// Reads the items and the differences. One that cannot be read is counted.
void ReadItems(const Json& message, FeedResponse* response) {
  for (const Json& item : message.at("items")) {
    try {
      response->page.items.push_back(ToItem(item));
    } catch (const Json::exception&) {
      ++response->unreadable_items;
    }
  }
  if (!message.contains("deltas")) return;
  for (const Json& delta : message.at("deltas")) {
    try {
      response->deltas.push_back(ToDelta(delta));
    } catch (const Json::exception&) {
      ++response->unreadable_items;
    }
  }
}

// Hosts of an earlier version list no hosts. One that cannot be read is left
// out.
std::vector<Endpoint> ToHosts(const Json& message) {
  std::vector<Endpoint> hosts;
  if (!message.contains("hosts")) return hosts;
  for (const Json& encoded : message.at("hosts")) {
    if (hosts.size() == kMaxHostsInResponse) break;
    auto host = ToEndpoint(encoded);
    if (host) hosts.push_back(std::move(*host));
  }
  return hosts;
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
  if (request.wants_all_suspects) json["all_suspects"] = true;
  if (request.wants_hosts) json["wants_hosts"] = true;
  if (request.isolated_run) {
    json["alone"] = {request.isolated_run->digest,
                     std::clamp<std::int64_t>(request.isolated_run->age.count(),
                                              0, kMaxMilliseconds)};
  }
  if (request.ended_run) {
    json["alone_ended"] = {request.ended_run->digest,
                           static_cast<unsigned>(request.ended_run->end)};
  }
  if (!request.cold_servers.empty()) {
    json["cold"] = ToJson(request.cold_servers);
  }
  if (!request.budget_asks.empty()) {
    json["budget"] = ToJson(request.budget_asks);
  }
  if (request.held_values) json["held"] = ToJson(*request.held_values);
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
  if (response.proven_age) {
    json["proven"] = static_cast<std::int64_t>(response.proven_age->count());
  }
  if (response.waited) {
    json["waited"] = static_cast<std::int64_t>(response.waited->count());
  }
  if (!response.suspects.empty()) json["suspects"] = ToJson(response.suspects);
  if (!response.permitted_servers.empty()) {
    json["permits"] = ToJson(response.permitted_servers);
  }
  if (response.isolated_run) {
    json["alone"] = static_cast<unsigned>(*response.isolated_run);
  }
  for (const Endpoint& host : response.hosts) {
    json["hosts"].push_back(ToString(host));
  }
  if (!response.budget_grants.empty()) {
    json["grants"] = ToJson(response.budget_grants);
  }
  for (const ItemDelta& delta : response.deltas) {
    json["deltas"].push_back(ToJson(delta));
  }
  return ToBytes(json);
}

Result<FeedRequest> DecodeFeedRequest(std::string_view bytes) {
  try {
    const Json message = FromBytes(bytes);
    FeedRequest request;
    request.after_revision = ToCount(message.at("after"), kMaxRevision);
    request.wait = ToDuration(message.at("wait"));
    BOOST_LEAF_ASSIGN(request.requester,
                      ParseEndpoint(message.at("from").get<std::string>()));
    request.suspects = ToNotices(message);
    request.wants_all_suspects = message.value("all_suspects", false);
    request.wants_hosts = message.value("wants_hosts", false);
    request.cold_servers = ToServers(message, "cold");
    request.budget_asks = ToAsks(message);
    request.isolated_run = ToIsolatedRunAsk(message);
    request.ended_run = ToIsolatedRunReport(message);
    request.held_values = ToHeldValues(message);
    return request;
  } catch (const Json::exception& error) {
    return Fail(PeerMessageError{error.what()});
  }
}

Result<FeedResponse> DecodeFeedResponse(std::string_view bytes) {
  try {
    const Json message = FromBytes(bytes);
    FeedResponse response;
    response.page.revision = ToCount(message.at("rev"), kMaxRevision);
    response.page.is_complete = message.at("whole").get<bool>();
    response.age = ToDuration(message.at("age"));
    response.hops = static_cast<int>(ToCount(message.at("hops"), kMaxCount));
    response.store_was_unavailable = message.at("away").get<bool>();
    if (message.contains("proven")) {
      response.proven_age = ToDuration(message.at("proven"));
    }
    if (message.contains("waited")) {
      response.waited = ToDuration(message.at("waited"));
    }
    response.suspects = ToNotices(message);
    response.permitted_servers = ToServers(message, "permits");
    response.budget_grants = ToGrants(message);
    response.hosts = ToHosts(message);
    response.isolated_run = ToIsolatedRunAnswer(message);
    ReadItems(message, &response);
    return response;
  } catch (const Json::exception& error) {
    return Fail(PeerMessageError{error.what()});
  }
}

}  // namespace heatherlatch
