// Holds the newest accepted object set and never reverts to an older one.
//
// Sources are the platform's configuration service and peers. A document is
// accepted when its revision is higher than the one in force and the complete
// set passes its check. The revision of a newer document that fails the check
// is recorded as rejected, so it is reported once and not fetched again; the
// set in force stays. A host that has no set yet serves nothing (`Current` is
// null).
//
// A new host waits for the revisions of its peers before it serves, because the
// platform may be stale: `MayServe` becomes true once `peer_report_wait` is
// over and the set in force is at least as new as every revision that a peer
// has reported until then. From then on it stays true: a serving host keeps
// serving while it fetches a newer set.
//
// Thread safety: none; the control thread owns it and publishes `Current`.
// Reads no clock.
#ifndef HEATHERLATCH_CONFIGURATION_CONFIGURATION_STATE_H_
#define HEATHERLATCH_CONFIGURATION_CONFIGURATION_STATE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>

#include "heatherlatch/base/host_incarnation.h"
#include "heatherlatch/base/result.h"
#include "heatherlatch/base/time.h"
#include "heatherlatch/objects/object_set.h"

namespace heatherlatch {

// A published document as text, with the revision the platform gave it.
struct ConfigurationDocument {
  Revision revision = 0;
  std::string yaml;
};

struct Accepted {
  Revision revision = 0;
};
struct AlreadyInForce {};
// The document is older than the one in force, was rejected before, or has
// revision 0.
struct Ignored {
  Revision in_force = 0;
};
struct Rejected {
  Revision revision = 0;
  std::string problems;  // The findings of the check, one per line.
};
using OfferResult = std::variant<Accepted, AlreadyInForce, Ignored, Rejected>;

struct ConfigurationOptions {
  // How long a new host waits for the revisions of its peers before it serves.
  Duration peer_report_wait = std::chrono::seconds(2);
};

class ConfigurationState {
 public:
  // Parses and checks a document; gives `Rejected` if it fails the check.
  using Checker =
      std::function<std::variant<std::shared_ptr<const ObjectSet>, Rejected>(
          const ConfigurationDocument&)>;

  ConfigurationState(ConfigurationOptions options, Checker checker,
                     TimePoint started);

  // Offers a document from the platform or a peer, and puts it in force if it
  // is accepted.
  OfferResult Offer(const ConfigurationDocument& document, TimePoint now);

  // Records the revision that a peer reports.
  // @return whether the peer has a newer document that this host should fetch
  bool OnPeerRevision(const HostIncarnation& peer, Revision revision);

  // Records that a link to a peer is up or has been closed.
  void OnPeerLink(const HostIncarnation& peer, bool up);

  // @return whether this host may serve requests; once true, it stays true
  bool MayServe(TimePoint now);

  // @return the set in force, or null
  std::shared_ptr<const ObjectSet> Current() const;

  // @return the document in force, to be sent to peers that request it; its
  //     revision is 0 if there is none
  const ConfigurationDocument& Document() const;

  // @return the revision in force; 0 if none
  Revision InForce() const;

 private:
  void RecordRejected(Revision revision);

  ConfigurationOptions options_;
  Checker checker_;
  TimePoint started_;
  std::shared_ptr<const ObjectSet> current_;
  ConfigurationDocument document_;
  // The highest revisions that failed their check, at most
  // `kMaxRejectedRevisions`.
  std::set<Revision> rejected_;
  // The highest revision that any peer has reported.
  Revision highest_reported_ = 0;
  bool may_serve_ = false;
  // The revision that each linked peer has last reported; 0 before its first
  // report.
  std::map<HostIncarnation, Revision> peer_revisions_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_CONFIGURATION_CONFIGURATION_STATE_H_
