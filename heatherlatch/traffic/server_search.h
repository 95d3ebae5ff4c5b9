// Finds the backend servers to which one request could be sent now.
//
// Draws a few eligible servers, probes those whose load is not known, and
// widens the search to other zones and regions where the latency target would
// be missed. The number of probes is bounded by the budget of the service; a
// search without probes works with the readings that the host has.
//
// Example:
//   auto search = std::make_shared<ServerSearch>(&context, &prober, subject);
//   search->Start(true, [this](FoundServers found) { Place(found); });
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_SERVER_SEARCH_H_
#define HEATHERLATCH_TRAFFIC_SERVER_SEARCH_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "heatherlatch/steering/placement_decision.h"
#include "heatherlatch/traffic/load_prober.h"
#include "heatherlatch/traffic/traffic_context.h"

namespace heatherlatch {

// The request for which servers are searched.
struct SearchSubject {
  ServiceName service;
  std::function<std::vector<Candidate>()> eligible;
  std::function<ExpectedWork()> work;
  std::function<PlacementState()> state;
  bool needs_idle_server = false;
  // Where a wide search begins; absent: at the nearest servers.
  std::function<SearchScope()> first_scope = nullptr;
};

struct FoundServers {
  // That can still be used, each with its reading if the server responded.
  std::vector<Candidate> candidates;
  // Whether servers were left out that may be usable: the budget did not allow
  // a probe, or the response to it was not in time.
  bool is_incomplete = false;
};

class ServerSearch : public std::enable_shared_from_this<ServerSearch> {
 public:
  using Done = std::function<void(FoundServers)>;

  ServerSearch(TrafficContext* context, LoadProber* prober,
               SearchSubject subject)
      : context_(context),
        prober_(prober),
        subject_(std::move(subject)),
        timer_(*context->io) {}

  // Begins a search, and ends one that is in progress without calling its
  // `done`.
  // @param wide  whether to search beyond the nearest servers if they would
  //              miss the latency target
  // @param done  called once
  void Start(bool wide, Done done);
  // Ends the search without calling its `done`.
  void Cancel();

 private:
  // Leaves the servers that this host prefers for the service, unless requests
  // of the service wait for a server.
  void KeepPreferred(std::vector<Candidate>* eligible) const;
  // Starts probes within the budget of the service. Candidates of which the
  // load is neither known nor may be probed are dropped.
  // @param timeout  for servers at the usual distance
  void Probe(std::vector<Candidate> drawn, Duration timeout);
  // @return the time that the farthest of the candidates needs beyond that of a
  //     server at the usual distance, as far as it has been measured
  Duration ExtraProbeTime() const;
  // Drops the candidates without a response, except those of which it is known
  // that they are in no cold start. A server that turned cold would get a
  // request of each host that does not know it yet.
  void DropUnknownCandidates();
  // @return the requests that one of the servers holds on average, as far as
  //     they have reported; nothing if none has
  std::optional<double> MeanOutstanding(
      const std::vector<Candidate>& servers) const;
  std::optional<LoadReading> KnownReading(const Candidate& candidate) const;
  // @return the last reading of a server that may be used without a probe
  std::optional<LoadReading> ReadingOfWarmServer(const Candidate& candidate,
                                                 Duration max_age) const;
  // Puts the candidates first that are likely to be free and at their usual
  // speed, so that few probes suffice.
  void SortByPromise(std::vector<Candidate>::iterator begin,
                     std::vector<Candidate>::iterator end) const;
  // Makes the most promising server that was left out a candidate, if it
  // reported enough free slots not long ago. A request does not wait for the
  // budget alone while servers are idle.
  // @return its reading
  std::optional<LoadReading> AddLastKnownServer();
  void OnTimeout();
  void OnReply(std::size_t round, std::size_t index, const LoadReply& reply);
  // Ends the search, or widens it.
  void Conclude();
  // Begins with the servers of `scope_` instead of the nearest ones.
  // @return whether there are any
  bool StartBeyondZone();
  std::optional<Choice> BestSoFar() const;
  // Probes servers that the budget left out at first, if none of those probed
  // has room and meets the latency target.
  // @return whether probes were started
  bool ProbeLeftOutServers();
  // @return whether probes of servers farther away were started
  bool ProbeFartherServers();
  // @return the eligible servers within `scope` that are no candidates yet
  std::vector<Candidate> FartherServers(SearchScope scope) const;

  TrafficContext* context_;
  LoadProber* prober_;
  SearchSubject subject_;
  Done done_;
  boost::asio::steady_timer timer_;
  bool wide_ = true;
  std::size_t round_ = 0;  // Replies to probes of an earlier round are ignored.
  std::vector<Candidate> candidates_;
  std::vector<Candidate> left_out_;  // Drawn, and not probed for the budget.
  bool probed_left_out_ = false;
  bool dropped_unknown_ = false;
  std::size_t replies_missing_ = 0;
  SearchScope scope_ = SearchScope::kNearest;
  bool began_beyond_zone_ = false;
};

// Updates what the host itself knows of the candidates, and removes those that
// may no longer be used.
void RefreshCandidates(const TrafficContext& context,
                       std::vector<Candidate>* candidates, TimePoint now);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_SERVER_SEARCH_H_
