#include "heatherlatch/fleet_budget/budget_desk.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;

// Demand for which tokens are held, and demand for which they are held while
// the issuers have too few.
constexpr Duration kHeldDemand = milliseconds(500);
constexpr Duration kScarceDemand = milliseconds(100);
// How long a key counts as scarce after its issuers had too few.
constexpr Duration kScarceTime = std::chrono::seconds(1);

// How long an issuer without tokens is not asked again. The bound below keeps a
// flood from costing a message a request, the one above lets a raised limit
// take effect.
constexpr Duration kMinDenial = milliseconds(100);
constexpr Duration kMaxDenial = std::chrono::seconds(1);
// How long an issuer that does not know a key is not asked about it.
constexpr Duration kUnknownTime = milliseconds(500);
// How long an issuer that did not respond is not asked.
constexpr Duration kSkipTime = std::chrono::seconds(1);

// Between two questions that only top up.
constexpr Duration kTopUpInterval = milliseconds(100);
// Questions a second, as a faded sum. With about 350 bytes each for both ways,
// they take at most 7 KB a second.
constexpr double kMaxQuestions = 20;

// The latest time that a refusal states.
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);
// The lowest rate of tokens by which refused requests are spread.
constexpr double kMinSpreadRate = 1;

// How long the state of a key is kept that nobody uses.
constexpr Duration kKeyRetention = std::chrono::seconds(10);

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

double BudgetDesk::Fading::At(TimePoint now) const {
  return amount * std::exp(-std::max(0.0, ToSeconds(now - at)));
}

void BudgetDesk::Fading::Add(double more, TimePoint now) {
  amount = At(now) + more;
  at = now;
}

void BudgetDesk::SetIssuers(const std::vector<Endpoint>& issuers,
                            TimePoint now) {
  std::map<Endpoint, Issuer> kept;
  for (const Endpoint& endpoint : issuers) kept[endpoint] = issuers_[endpoint];
  kept.swap(issuers_);
  Ready ready;
  for (auto& [endpoint, issuer] : kept) {
    if (issuers_.count(endpoint) == 0) EndAsks(&issuer, now, &ready);
  }
  Call(ready);
}

std::optional<BudgetGranted> BudgetDesk::TakeNow(const BudgetKey& key,
                                                 KeyState* state,
                                                 TimePoint now) {
  if (const auto expires_at = held_.Take(key, now)) {
    return BudgetGranted{*expires_at};
  }
  const std::optional<BudgetGrant> own = issue_own_(key, 1);
  state->issues_own = own.has_value();
  state->own_denial.reset();
  if (!own) return std::nullopt;
  if (own->granted > 0) {
    state->granted.Add(1, now);
    return BudgetGranted{now + state->lifetime};
  }
  state->own_denial =
      Denial{now + std::clamp(own->until_next, kMinDenial, kMaxDenial), true};
  return std::nullopt;
}

void BudgetDesk::Acquire(const BudgetKey& key, Duration lifetime, TimePoint now,
                         TimePoint give_up_at, Done done) {
  KeyState& state = keys_[key];
  state.lifetime = lifetime;
  state.used_at = now;
  state.used.Add(1, now);
  if (state.waiters.empty()) {
    if (const auto token = TakeNow(key, &state, now)) {
      Want(key, state, now);
      done(*token);
      return;
    }
  }
  state.waiters.push_back({give_up_at, std::move(done)});
  Ready ready;
  if (!state.asked && !IssuerFor(state, now)) Refuse(&state, now, &ready);
  Want(key, state, now);
  Call(ready);
}

std::optional<BudgetGranted> BudgetDesk::TryAcquire(const BudgetKey& key,
                                                    Duration lifetime,
                                                    TimePoint now) {
  KeyState& state = keys_[key];
  state.lifetime = lifetime;
  state.used_at = now;
  if (auto token = TakeNow(key, &state, now)) return token;
  if (now < state.exhausted_until) return std::nullopt;
  state.wants_one = true;
  Want(key, state, now);
  return std::nullopt;
}

void BudgetDesk::Return(const BudgetKey& key, const BudgetGranted& token,
                        TimePoint now) {
  if (token.valid_until <= now) return;
  held_.Receive(key, 1, token.valid_until, Duration::zero());
}

double BudgetDesk::Target(const KeyState& state, TimePoint now) const {
  // A host that issues itself needs no store.
  if (state.issues_own && !state.own_denial) return 0;
  const bool scarce = now < state.scarce_until;
  const Duration demand =
      std::min(scarce ? kScarceDemand : kHeldDemand, state.lifetime / 2);
  // Just after a request, the faded sum is one too high.
  return std::floor((state.used.At(now) - 1) * ToSeconds(demand));
}

int BudgetDesk::Wanted(const BudgetKey& key, const KeyState& state,
                       TimePoint now) const {
  const double held = held_.Available(key, now);
  const double target = Target(state, now);
  double wanted = static_cast<double>(state.waiters.size());
  if (wanted > 0 || 2 * held < target) wanted += std::max(0.0, target - held);
  if (state.wants_one && held == 0) wanted = std::max(wanted, 1.0);
  return static_cast<int>(
      std::min(wanted, static_cast<double>(kMaxTokensInAsk)));
}

void BudgetDesk::Want(const BudgetKey& key, const KeyState& state,
                      TimePoint now) {
  if (Wanted(key, state, now) == 0) return;
  hungry_.insert(key);
  const bool urgent = !state.waiters.empty() || state.wants_one;
  next_due_ = std::min(
      next_due_, urgent ? now : std::max(now, topped_up_at_ + kTopUpInterval));
}

std::vector<Endpoint> BudgetDesk::NearestFirst() const {
  std::vector<std::pair<Duration, Endpoint>> order;
  for (const auto& [endpoint, issuer] : issuers_) {
    order.emplace_back(issuer.round_trip.value_or(Duration::zero()), endpoint);
  }
  std::sort(order.begin(), order.end());
  std::vector<Endpoint> endpoints;
  endpoints.reserve(order.size());
  for (auto& [round_trip, endpoint] : order) endpoints.push_back(endpoint);
  return endpoints;
}

std::optional<Endpoint> BudgetDesk::IssuerFor(const KeyState& state,
                                              TimePoint now) const {
  for (const Endpoint& endpoint : NearestFirst()) {
    if (now < issuers_.at(endpoint).skipped_until) continue;
    const auto denial = state.denials.find(endpoint);
    if (denial != state.denials.end() && now < denial->second.until) continue;
    return endpoint;
  }
  return std::nullopt;
}

BudgetExhausted BudgetDesk::Refusal(KeyState* state, TimePoint now) {
  const TimePoint slot = std::max(state->next_slot, state->exhausted_until);
  const double rate = std::max(kMinSpreadRate, state->granted.At(now));
  state->next_slot =
      std::min(slot + FromSeconds(1 / rate), now + kMaxRetryAfter);
  return {slot - now};
}

void BudgetDesk::Refuse(KeyState* state, TimePoint now, Ready* ready) {
  std::optional<TimePoint> until;
  const auto consider = [&](const Denial& denial) {
    if (!denial.knows_key || denial.until <= now) return;
    until = std::min(until.value_or(TimePoint::max()), denial.until);
  };
  for (const auto& [endpoint, denial] : state->denials) consider(denial);
  if (state->own_denial) consider(*state->own_denial);
  if (until) {
    state->exhausted_until = *until;
    state->scarce_until = now + kScarceTime;
  }
  for (Waiter& waiter : std::exchange(state->waiters, {})) {
    const BudgetAnswer answer =
        until ? BudgetAnswer(Refusal(state, now)) : BudgetUnreachable();
    ready->emplace_back(std::move(waiter.done), answer);
  }
}

void BudgetDesk::GiveUp(KeyState* state, TimePoint now, Ready* ready) {
  std::deque<Waiter> patient;
  for (Waiter& waiter : state->waiters) {
    if (now < waiter.give_up_at) {
      patient.push_back(std::move(waiter));
    } else {
      ready->emplace_back(std::move(waiter.done), BudgetUnreachable());
    }
  }
  state->waiters = std::move(patient);
}

void BudgetDesk::Settle(const BudgetKey& key, KeyState* state, TimePoint now,
                        Ready* ready) {
  while (!state->waiters.empty()) {
    const auto token = TakeNow(key, state, now);
    if (!token) break;
    ready->emplace_back(std::move(state->waiters.front().done), *token);
    state->waiters.pop_front();
  }
  if (state->waiters.empty() || state->asked) return;
  if (!IssuerFor(*state, now)) Refuse(state, now, ready);
}

std::map<Endpoint, std::vector<BudgetAsk>> BudgetDesk::GatherAsks(
    TimePoint now, Ready* ready) {
  std::map<Endpoint, std::vector<BudgetAsk>> gathered;
  for (auto it = hungry_.begin(); it != hungry_.end();) {
    const BudgetKey& key = *it;
    KeyState& state = keys_[key];
    GiveUp(&state, now, ready);
    Settle(key, &state, now, ready);
    const int wanted = Wanted(key, state, now);
    const std::optional<Endpoint> endpoint = IssuerFor(state, now);
    if (!state.asked && (wanted == 0 || !endpoint)) {
      state.wants_one = false;
      it = hungry_.erase(it);
      continue;
    }
    if (!state.asked && !issuers_.at(*endpoint).busy) {
      std::vector<BudgetAsk>& asks = gathered[*endpoint];
      if (asks.size() < kMaxAsksInQuestion) asks.push_back({key, wanted});
    }
    for (const Waiter& waiter : state.waiters) {
      next_due_ = std::min(next_due_, waiter.give_up_at);
    }
    ++it;
  }
  return gathered;
}

bool BudgetDesk::MayAsk(const std::vector<BudgetAsk>& asks, TimePoint now) {
  const double sent = questions_.At(now);
  TimePoint at = now;
  if (sent + 1 > kMaxQuestions) {
    at = now + FromSeconds(std::log(sent / (kMaxQuestions - 1)));
  }
  const bool urgent =
      std::any_of(asks.begin(), asks.end(), [this](const BudgetAsk& ask) {
        const KeyState& state = keys_[ask.key];
        return !state.waiters.empty() || state.wants_one;
      });
  if (!urgent) at = std::max(at, topped_up_at_ + kTopUpInterval);
  if (at <= now) return true;
  // Timers are not exact; a later turn makes sure that the time has come.
  next_due_ = std::min(next_due_, at + milliseconds(1));
  return false;
}

std::vector<BudgetQuestion> BudgetDesk::TakeQuestions(TimePoint now) {
  next_due_ = TimePoint::max();
  Ready ready;
  std::vector<BudgetQuestion> questions;
  for (auto& [endpoint, asks] : GatherAsks(now, &ready)) {
    if (!MayAsk(asks, now)) continue;
    questions_.Add(1, now);
    topped_up_at_ = now;
    for (const BudgetAsk& ask : asks) {
      KeyState& state = keys_[ask.key];
      state.asked = true;
      state.wants_one = false;
    }
    Issuer& issuer = issuers_.at(endpoint);
    issuer.busy = true;
    issuer.asked_at = now;
    issuer.asks = asks;
    questions.push_back({endpoint, std::move(asks)});
  }
  Call(ready);
  return questions;
}

TimePoint BudgetDesk::NextDue() const { return next_due_; }

void BudgetDesk::NoteAnswer(const BudgetAsk& ask, const BudgetGrant* grant,
                            const Endpoint& endpoint, TimePoint now,
                            Ready* ready) {
  KeyState& state = keys_[ask.key];
  state.asked = false;
  if (grant == nullptr) {
    state.denials[endpoint] = {now + kUnknownTime, false};
  } else {
    const int granted = std::min(grant->granted, ask.wanted);
    held_.Receive(ask.key, granted, issuers_.at(endpoint).asked_at,
                  state.lifetime);
    state.granted.Add(granted, now);
    if (granted < ask.wanted) {
      state.denials[endpoint] = {
          now + std::clamp(grant->until_next, kMinDenial, kMaxDenial), true};
    }
  }
  Settle(ask.key, &state, now, ready);
  Want(ask.key, state, now);
}

void BudgetDesk::OnGrants(const Endpoint& issuer,
                          const std::vector<BudgetGrant>& grants,
                          TimePoint now) {
  const auto found = issuers_.find(issuer);
  if (found == issuers_.end() || !found->second.busy) return;
  found->second.busy = false;
  const Duration round_trip = now - found->second.asked_at;
  found->second.round_trip =
      std::min(found->second.round_trip.value_or(round_trip), round_trip);
  Ready ready;
  for (const BudgetAsk& ask : std::exchange(found->second.asks, {})) {
    const auto grant = std::find_if(
        grants.begin(), grants.end(),
        [&](const BudgetGrant& entry) { return entry.key == ask.key; });
    NoteAnswer(ask, grant == grants.end() ? nullptr : &*grant, issuer, now,
               &ready);
  }
  Call(ready);
}

void BudgetDesk::OnFailure(const Endpoint& issuer, TimePoint now) {
  const auto found = issuers_.find(issuer);
  if (found == issuers_.end()) return;
  found->second.skipped_until = now + kSkipTime;
  Ready ready;
  EndAsks(&found->second, now, &ready);
  Call(ready);
}

void BudgetDesk::EndAsks(Issuer* issuer, TimePoint now, Ready* ready) {
  issuer->busy = false;
  for (const BudgetAsk& ask : std::exchange(issuer->asks, {})) {
    KeyState& state = keys_[ask.key];
    state.asked = false;
    Settle(ask.key, &state, now, ready);
    Want(ask.key, state, now);
  }
}

std::map<BudgetKind, std::size_t> BudgetDesk::RemoveExpired(TimePoint now) {
  for (auto it = keys_.begin(); it != keys_.end();) {
    const KeyState& state = it->second;
    const bool unused = state.waiters.empty() && !state.asked &&
                        now - state.used_at > kKeyRetention;
    if (unused) hungry_.erase(it->first);
    it = unused ? keys_.erase(it) : std::next(it);
  }
  return held_.RemoveExpired(now);
}

void BudgetDesk::Call(const Ready& ready) {
  for (const auto& [done, answer] : ready) done(answer);
}

}  // namespace heatherlatch
