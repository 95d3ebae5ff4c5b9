// Acquires tokens of the bounds that all hosts keep together
// (fleet_budget/fleet_budget.h), and issues them if this host is a reader of
// the store.
//
// The readers are the issuers. A host that is one takes tokens from its own
// part first. `BudgetDesk` decides what to ask whom; this class carries the
// questions, over one kept connection to each reader. Without configured
// readers, this host is the only issuer.
//
// The terms of a bound are those of `TrafficContext::TermsOf`.
//
// Example:
//   client.Acquire(key, std::chrono::milliseconds(100),
//                  [](const BudgetAnswer& answer) { ... });
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_BUDGET_CLIENT_H_
#define HEATHERLATCH_TRAFFIC_BUDGET_CLIENT_H_

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "heatherlatch/fleet_budget/budget_desk.h"
#include "heatherlatch/relay/peer_messages.h"
#include "heatherlatch/traffic/client_connection.h"

namespace heatherlatch {

class TrafficContext;

class BudgetClient {
 public:
  using Done = BudgetDesk::Done;

  explicit BudgetClient(TrafficContext* context);
  ~BudgetClient();

  // Takes a token, and asks for one if the host holds none. A key without terms
  // is answered with BudgetUnreachable.
  // @param max_wait  after which BudgetUnreachable is the answer
  // @param done      called once; during the call if the answer is known
  void Acquire(const BudgetKey& key, Duration max_wait, Done done);

  // Takes a token if the host holds one, or issues it from its own part.
  // Otherwise asks for one in the background, so that a later call may succeed.
  // @return the token, if there was one
  std::optional<BudgetGranted> TryAcquire(const BudgetKey& key);

  // @return whether the token may still be used
  bool IsValid(const BudgetGranted& token) const;

  // Gives back a token that was not used.
  void Return(const BudgetKey& key, const BudgetGranted& token);

  // Issues tokens to another host.
  // @return a grant for each known key; none if this host is not a reader
  std::vector<BudgetGrant> Issue(const std::vector<BudgetAsk>& asks);

  // Removes what has expired. To be called about twice a second.
  void RemoveExpired();

 private:
  struct Line {
    std::shared_ptr<ClientConnection> connection;
    std::unique_ptr<boost::asio::steady_timer> timeout;
  };

  // @return the time by which tokens expire. It counts suspensions
  static TimePoint Now();
  std::optional<BudgetGrant> IssueOne(const BudgetKey& key, int wanted);
  bool IsReader() const;
  // Takes over the readers of the settings.
  void UpdateReaders();
  // Sends the questions that are due, and sets the timer for the next.
  void Poll();
  void Send(const BudgetQuestion& question);
  void OnResult(const Endpoint& issuer, const CallResult& result);
  // Logs and counts what became of asked tokens.
  void Record(const Endpoint& issuer, const std::vector<BudgetGrant>& grants);

  TrafficContext* context_;
  std::optional<BudgetIssuer> issuer_;  // If this host is a reader.
  BudgetDesk desk_;
  std::vector<Endpoint> readers_;  // Those that `desk_` knows.
  std::map<Endpoint, Line> lines_;
  boost::asio::steady_timer timer_;
  TimePoint due_ = TimePoint::max();  // Of `timer_`.
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_BUDGET_CLIENT_H_
