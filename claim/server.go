package claim

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"galenastair"
	"galenastair/peer/claimpb"
)

// Handler returns the HTTP handler for calls from other instances.
func (m *Manager) Handler() http.Handler { return claimpb.NewClaimServer(server{m}) }

// Server returns the service that Handler serves, for calls without HTTP in tests and benchmarks.
func (m *Manager) Server() claimpb.Claim { return server{m} }

func (m *Manager) httpPeerClient(p galenastair.Peer) claimpb.Claim {
	return claimpb.NewClaimProtobufClient("http://"+p.Address, m.httpClient)
}

type server struct{ manager *Manager }

// Begin decides, as the owner of a key, whether an attempt may be sent.
func (s server) Begin(ctx context.Context, r *claimpb.BeginRequest) (*claimpb.BeginReply, error) {
	err := s.manager.grant(ctx, toAttempt(r.Attempt, s.manager.clock.Now()))
	return toReply(err), nil
}

// Tell stores copies and outcomes of attempts.
func (s server) Tell(_ context.Context, r *claimpb.TellRequest) (*claimpb.TellReply, error) {
	reply := &claimpb.TellReply{}
	for _, result := range s.manager.storeAttempts(toAttempts(r.Attempts, s.manager.clock.Now())) {
		reply.Keeping = append(reply.Keeping, int32(result))
	}
	return reply, nil
}

// Sync returns the attempts on keys that the calling instance owns.
func (s server) Sync(_ context.Context, r *claimpb.SyncRequest) (*claimpb.SyncReply, error) {
	list, err := s.manager.attemptsForOwner(galenastair.InstanceID(r.Home), galenastair.Epoch(r.Epoch))
	if err != nil {
		return nil, twirp.FailedPrecondition.Error(err.Error())
	}
	return &claimpb.SyncReply{Attempts: fromAttempts(list, s.manager.clock.Now())}, nil
}

// refusalCauses maps the codes that the owner of a key may send to their causes.
var refusalCauses = map[galenastair.Code]error{}

func init() {
	for _, cause := range []error{
		galenastair.ErrDuplicate, galenastair.ErrDuplicateInProgress,
		galenastair.ErrClaimUnavailable, galenastair.ErrBadRequest,
	} {
		refusalCauses[(&galenastair.Refusal{Cause: cause}).Code()] = cause
	}
}

func toReply(err error) *claimpb.BeginReply {
	if err == nil {
		return &claimpb.BeginReply{}
	}
	r := asRefusal(err)
	return &claimpb.BeginReply{
		Code:                   string(r.Code()),
		Outcome:                string(r.Outcome),
		RetryAfterMilliseconds: r.RetryAfter.Milliseconds(),
		Detail:                 r.Detail,
	}
}

func fromReply(reply *claimpb.BeginReply) error {
	if reply.Code == "" {
		return nil
	}
	cause, ok := refusalCauses[galenastair.Code(reply.Code)]
	if !ok {
		return unavailable("the key's home gave an unknown answer")
	}
	return &galenastair.Refusal{
		Cause:      cause,
		Outcome:    galenastair.Outcome(reply.Outcome),
		RetryAfter: time.Duration(reply.RetryAfterMilliseconds) * time.Millisecond,
		Detail:     reply.Detail,
	}
}
