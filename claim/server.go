package claim

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"galenastair"
	"galenastair/peer/claimpb"
)

// Handler serves the other instances.
func (k *Keeper) Handler() http.Handler { return claimpb.NewClaimServer(server{k}) }

// Server answers the other instances without HTTP, for tests and measurements.
func (k *Keeper) Server() claimpb.Claim { return server{k} }

func (k *Keeper) overHTTP(p galenastair.Peer) claimpb.Claim {
	return claimpb.NewClaimProtobufClient("http://"+p.Address, k.client)
}

type server struct{ keeper *Keeper }

// Begin answers as a key's home.
func (s server) Begin(ctx context.Context, r *claimpb.BeginRequest) (*claimpb.BeginReply, error) {
	err := s.keeper.grant(ctx, toAttempt(r.Attempt, s.keeper.clock.Now()))
	return toReply(err), nil
}

// Tell keeps copies and outcomes.
func (s server) Tell(_ context.Context, r *claimpb.TellRequest) (*claimpb.TellReply, error) {
	reply := &claimpb.TellReply{}
	for _, kept := range s.keeper.take(toAttempts(r.Attempts, s.keeper.clock.Now())) {
		reply.Keeping = append(reply.Keeping, int32(kept))
	}
	return reply, nil
}

// Sync answers a new home.
func (s server) Sync(_ context.Context, r *claimpb.SyncRequest) (*claimpb.SyncReply, error) {
	list, err := s.keeper.kept(galenastair.InstanceID(r.Home), galenastair.Epoch(r.Epoch))
	if err != nil {
		return nil, twirp.FailedPrecondition.Error(err.Error())
	}
	return &claimpb.SyncReply{Attempts: fromAttempts(list, s.keeper.clock.Now())}, nil
}

// replies are the refusals of a home, by the code under which they travel.
var replies = map[galenastair.Code]error{}

func init() {
	for _, cause := range []error{
		galenastair.ErrDuplicate, galenastair.ErrDuplicateUnsettled,
		galenastair.ErrClaimUnavailable, galenastair.ErrBadRequest,
	} {
		replies[(&galenastair.Refusal{Cause: cause}).Code()] = cause
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
	cause, ok := replies[galenastair.Code(reply.Code)]
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
