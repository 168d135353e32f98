package entry

import (
	"net/http"

	"github.com/gorilla/mux"

	"galenastair"
	"galenastair/config"
	"galenastair/member"
	"galenastair/peer/claimpb"
	"galenastair/peer/demand"
	"galenastair/peer/ratepb"
	"galenastair/peer/record"
	"galenastair/report"
)

// peerHandler returns the handler of the peers' port.
func (e *Entry) peerHandler() http.Handler {
	r := mux.NewRouter()
	r.PathPrefix(member.PathPrefix).Handler(e.members.Handler())
	r.PathPrefix(record.PathPrefix).Handler(record.NewServer(map[galenastair.Stream]record.Source{
		galenastair.ConfigurationStream: e.follower,
	}))
	r.PathPrefix(ratepb.RatePathPrefix).Handler(e.limiter.Handler())
	r.PathPrefix(demand.PathPrefix).Handler(demand.NewServer(e.modelNames, e.leader.RecordDemand))
	r.PathPrefix(report.PathPrefix).Handler(e.reporter.Handler())
	r.PathPrefix(claimpb.ClaimPathPrefix).Handler(e.claims.Handler())
	return r
}

// otherMembers returns the other members of the last known epoch, which are asked for
// records that the log does not return.
func (e *Entry) otherMembers() []config.Peer {
	s := e.members.Status()
	listed := map[string]bool{}
	for _, l := range e.fleet.withRole(galenastair.RoleEntry) {
		listed[l.ID] = true
	}
	var peers []config.Peer
	for _, m := range s.View.Ring {
		if m.ID == e.settings.Instance.ID {
			continue
		}
		peers = append(peers, config.Peer{
			ID: m.ID, Address: m.PeerAddress, AvailabilityZone: m.AvailabilityZone,
			Deregistered: len(listed) > 0 && !listed[string(m.ID)],
		})
	}
	return peers
}
