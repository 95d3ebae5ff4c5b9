// Decides how many tokens of each bound a host asks of which issuer, and hands
// them to those that wait for one (fleet_budget.h).
//
// A token that is held is taken at once. Otherwise the host asks the nearest
// issuer, and the others where it has none left or does not respond. One
// question at a time goes to each issuer; it names all keys with something to
// ask. Keys in use are topped up in the background to what they need in the
// next half second. Questions are paced, so that their bytes are bounded
// whatever arrives. Once every issuer that can be reached has denied a key, the
// answer is remembered until the first of them has a token again.
//
// A host that reaches no issuer gets no tokens: it cannot know what the others
// use.
//
// Example:
//   BudgetDesk desk;
//   desk.SetIssuers({reader});
//   desk.Acquire(key, terms, now, now + max_wait, done);
//   for (const BudgetQuestion& question : desk.TakeQuestions(now))
//   Send(question); desk.OnGrants(reader, grants, now);  // Calls `done`.
//
// Thread safety: none; the caller serialises access. Reads no clock. A callback
// may call the desk.
#ifndef HEATHERLATCH_FLEET_BUDGET_BUDGET_DESK_H_
#define HEATHERLATCH_FLEET_BUDGET_BUDGET_DESK_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/fleet_budget/fleet_budget.h"

namespace heatherlatch {

// Tokens of a bound for which a host asks.
struct BudgetAsk {
  BudgetKey key;
  int wanted = 1;
};

// What an issuer grants. A key that it does not know is absent.
struct BudgetGrant {
  BudgetKey key;
  int granted = 0;
  // Until the issuer has another token of the key; zero: it has one.
  Duration until_next{};
};

inline constexpr std::size_t kMaxAsksInQuestion = 64;
inline constexpr int kMaxTokensInAsk = 10'000;

// The token may be used until then.
struct BudgetGranted {
  TimePoint valid_until;
};
// All issuers that responded have none left.
struct BudgetExhausted {
  // When a token can be expected for this request, behind those that were
  // refused before it.
  Duration retry_after{};
};
// No issuer responded in time, or none knows the key.
struct BudgetUnreachable {};
using BudgetAnswer =
    std::variant<BudgetGranted, BudgetExhausted, BudgetUnreachable>;

struct BudgetQuestion {
  Endpoint issuer;
  std::vector<BudgetAsk> asks;
};

class BudgetDesk {
 public:
  using Done = std::function<void(const BudgetAnswer&)>;
  // Issues from the part of this host.
  // @return nothing if this host is not an issuer, or does not know the key
  using IssueOwn =
      std::function<std::optional<BudgetGrant>(const BudgetKey&, int wanted)>;

  explicit BudgetDesk(IssueOwn issue_own) : issue_own_(std::move(issue_own)) {}

  // Questions to former issuers count as failed.
  // @param issuers  those other than this host
  void SetIssuers(const std::vector<Endpoint>& issuers, TimePoint now);

  // Takes a token, or waits for one.
  // @param lifetime    of tokens of the key, from the question
  // @param give_up_at  when BudgetUnreachable is the answer
  // @param done        called once; during the call if the answer is known
  void Acquire(const BudgetKey& key, Duration lifetime, TimePoint now,
               TimePoint give_up_at, Done done);

  // Takes a token if there is one now; otherwise asks in the background.
  std::optional<BudgetGranted> TryAcquire(const BudgetKey& key,
                                          Duration lifetime, TimePoint now);

  // Takes back a token that was not used.
  void Return(const BudgetKey& key, const BudgetGranted& token, TimePoint now);

  // Answers the calls that have waited too long.
  // @return the questions to send now. Each must end with `OnGrants` or
  //     `OnFailure`
  std::vector<BudgetQuestion> TakeQuestions(TimePoint now);

  // @return when to call `TakeQuestions` at the latest; TimePoint::max(): not
  //     before another call
  TimePoint NextDue() const;

  void OnGrants(const Endpoint& issuer, const std::vector<BudgetGrant>& grants,
                TimePoint now);
  // Notes that a question was not answered in time.
  void OnFailure(const Endpoint& issuer, TimePoint now);

  // Removes expired tokens, and the state of keys that are no longer used.
  // @return how many tokens expired, by kind
  std::map<BudgetKind, std::size_t> RemoveExpired(TimePoint now);

  // @return keys of which the desk keeps a state
  std::size_t size() const { return keys_.size(); }

 private:
  struct Waiter {
    TimePoint give_up_at;
    Done done;
  };
  // An amount that fades within a second.
  struct Fading {
    double amount = 0;
    TimePoint at;
    void Add(double more, TimePoint now);
    double At(TimePoint now) const;
  };
  // An issuer that is not to be asked about a key until then.
  struct Denial {
    TimePoint until;
    bool knows_key = true;
  };
  struct KeyState {
    std::deque<Waiter> waiters;
    Duration lifetime{};
    Fading used;         // Tokens wanted by callers.
    Fading granted;      // Tokens granted to this host.
    bool asked = false;  // A question about it is under way.
    std::map<Endpoint, Denial> denials;
    std::optional<Denial> own_denial;
    bool issues_own = false;    // From the part of this host.
    TimePoint exhausted_until;  // Of all issuers.
    TimePoint scarce_until;     // Then tokens are not held for long.
    TimePoint next_slot;        // Of the next refused request.
    bool wants_one = false;     // A background ask of `TryAcquire`.
    TimePoint used_at;
  };
  struct Issuer {
    bool busy = false;
    TimePoint asked_at;
    std::vector<BudgetAsk> asks;
    std::optional<Duration> round_trip;  // The shortest seen.
    TimePoint skipped_until;
  };
  using Ready = std::vector<std::pair<Done, BudgetAnswer>>;

  std::optional<BudgetGranted> TakeNow(const BudgetKey& key, KeyState* state,
                                       TimePoint now);
  // Answers the waiters of a key that need not wait on.
  void Settle(const BudgetKey& key, KeyState* state, TimePoint now,
              Ready* ready);
  // Answers all waiters of a key that no issuer is left to ask about.
  void Refuse(KeyState* state, TimePoint now, Ready* ready);
  // Answers the waiters that have waited too long.
  void GiveUp(KeyState* state, TimePoint now, Ready* ready);
  void NoteAnswer(const BudgetAsk& ask, const BudgetGrant* grant,
                  const Endpoint& endpoint, TimePoint now, Ready* ready);
  // Ends the question to an issuer without grants.
  void EndAsks(Issuer* issuer, TimePoint now, Ready* ready);
  // Sees to it that `TakeQuestions` is called, if the key has something to ask.
  void Want(const BudgetKey& key, const KeyState& state, TimePoint now);
  // @return tokens that the host should hold of the key
  double Target(const KeyState& state, TimePoint now) const;
  // @return the issuer to ask about the key now; nothing if each was tried
  std::optional<Endpoint> IssuerFor(const KeyState& state, TimePoint now) const;
  // @return tokens to ask for now
  int Wanted(const BudgetKey& key, const KeyState& state, TimePoint now) const;
  static BudgetExhausted Refusal(KeyState* state, TimePoint now);
  // Takes the asks to be sent now out of the hungry keys.
  std::map<Endpoint, std::vector<BudgetAsk>> GatherAsks(TimePoint now,
                                                        Ready* ready);
  // @return whether a question may be sent now; otherwise `next_due_` is set
  bool MayAsk(const std::vector<BudgetAsk>& asks, TimePoint now);
  std::vector<Endpoint> NearestFirst() const;
  static void Call(const Ready& ready);

  IssueOwn issue_own_;
  BudgetHolder held_;
  std::map<BudgetKey, KeyState> keys_;
  std::set<BudgetKey> hungry_;  // With waiters or a need for a top-up.
  std::map<Endpoint, Issuer> issuers_;
  Fading questions_;  // Sent lately.
  TimePoint topped_up_at_;
  TimePoint next_due_ = TimePoint::max();
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_FLEET_BUDGET_BUDGET_DESK_H_
