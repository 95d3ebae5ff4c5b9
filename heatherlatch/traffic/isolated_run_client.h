// Asks a reader of the store for permits to run contents alone that are
// suspected of crashing servers (admission/isolated_run_permits.h).
//
// The reader is chosen by the content: the first, in an order that all hosts
// share, that answers. A reader that does not respond, or that is of a version
// that issues no such permits, is passed over; if none answers, each host runs
// the content by itself. The longer a permit is denied, the longer the host
// waits before it asks again.
//
// Example:
//   client.Ask(digest, [](IsolatedRunAnswer answer) { ... run it ... });
//   client.End(digest, IsolatedRunEnd::kCleared, std::nullopt);
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_ISOLATED_RUN_CLIENT_H_
#define HEATHERLATCH_TRAFFIC_ISOLATED_RUN_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "heatherlatch/admission/isolated_run_permits.h"
#include "heatherlatch/relay/peer_messages.h"
#include "heatherlatch/traffic/traffic_context.h"

namespace heatherlatch {

class IsolatedRunClient {
 public:
  using Done = std::function<void(IsolatedRunAnswer)>;
  // Takes over notices that came with an answer.
  using OnNotices = std::function<void(const std::vector<SuspectNotice>&)>;

  IsolatedRunClient(TrafficContext* context, OnNotices on_notices);

  // Asks for a permit for a suspect. No two requests of this host may ask for
  // the same content, or run it, at one time.
  // @param done  called once; during the call if the answer is known
  void Ask(ContentDigest digest, Done done);

  // Returns the permit. Does nothing if this host has none.
  // @param notice  of the crash, if the run ended with one
  void End(ContentDigest digest, IsolatedRunEnd end,
           const std::optional<SuspectNotice>& notice);

  // Forgets how long to wait for contents that no request asked for lately.
  void RemoveExpired(TimePoint now);

 private:
  struct Question {
    ContentDigest digest = 0;
    std::vector<Endpoint> readers;  // Those not asked yet are the last ones.
    std::size_t next_reader = 0;
    Done done;
  };
  struct Denial {
    Duration delay{};
    TimePoint ask_again_at;
  };

  void AskNextReader(const std::shared_ptr<Question>& question);
  void Finish(const Question& question, const Endpoint& reader,
              IsolatedRunAnswer answer);
  // @param done  called once with the response; without one if none came
  void Call(const Endpoint& reader, FeedRequest request,
            std::function<void(const std::optional<FeedResponse>&)> done);

  TrafficContext* context_;
  const OnNotices on_notices_;
  std::map<ContentDigest, Endpoint> issuers_;  // Of the permits of this host.
  std::map<ContentDigest, Denial> denials_;
};

// @return the readers in the order in which hosts ask them about a content
std::vector<Endpoint> ReadersFor(ContentDigest digest,
                                 std::vector<Endpoint> readers);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_ISOLATED_RUN_CLIENT_H_
