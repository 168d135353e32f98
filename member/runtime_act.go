package member

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"galenastair"
	"galenastair/peer/memberpb"
)

// appendTimeout is when the outcome of an append counts as unknown. Reading the log then decides it.
const appendTimeout = 5 * time.Second

// execute runs an action outside the control loop. The result is posted back to the loop.
func (r *Runtime) execute(a Action) {
	if r.tasks == nil {
		return
	}
	ctx := r.tasksCtx
	switch a := a.(type) {
	case Append:
		r.metrics.appends.WithLabelValues(string(a.Record.Kind)).Inc()
		r.spawn(func() { r.append(ctx, a.Record) })
	case SendHeartbeat:
		now := r.clock.Now()
		recentlyJoined := now.Sub(r.joinedAt) < r.timing.GossipDuration
		req := encodeHeartbeat(a.Heartbeat)
		req.News = encodeGossip(r.node.Gossip(now, false))
		req.Fresh = recentlyJoined
		r.spawn(func() { r.heartbeat(ctx, a, req) })
	case SendGossip:
		msg := encodeGossip(r.node.Gossip(r.clock.Now(), false))
		r.spawn(func() { r.exchangeGossip(ctx, a.To, msg) })
	case AskAdmission:
		r.spawn(func() { r.askAdmission(ctx, a.To) })
	case Probe:
		r.spawn(func() { r.probe(ctx, a.To) })
	case ReadList:
		r.spawn(func() { r.readList(ctx) })
	}
}

func (r *Runtime) spawn(f func()) {
	r.tasks.Go(func() error {
		f()
		return nil
	})
}

// postResult passes a result to the control loop. It is dropped only if the loop has ended.
func (r *Runtime) postResult(ctx context.Context, f func(now time.Time)) {
	_ = r.loop.Post(ctx, func() {
		f(r.clock.Now())
		r.flushActions()
	})
}

func (r *Runtime) append(ctx context.Context, rec galenastair.Record) {
	data, err := json.Marshal(rec)
	if err != nil {
		_ = level.Error(r.logger).Log("msg", "cannot encode record", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = r.log.Append(ctx, r.stream, data)
	if errors.Is(err, galenastair.ErrAppendRefused) {
		r.postResult(r.tasksCtx, func(time.Time) { r.node.HandleAppendRefused(rec.ID) })
	}
}

func (r *Runtime) heartbeat(ctx context.Context, a SendHeartbeat, req *memberpb.HeartbeatRequest) {
	reply, err := call(ctx, r, a.To, req, memberpb.Member.Heartbeat)
	answer := "failed"
	if err == nil {
		answer = "refused"
		if reply.GrantedMs > 0 {
			answer = "promised"
		}
	}
	r.metrics.heartbeats.WithLabelValues(answer).Inc()
	if err != nil {
		return
	}
	r.postResult(ctx, func(now time.Time) {
		r.node.MergeGossip(now, decodeGossip(reply.News))
		r.node.HandleHeartbeatReply(now, a.Heartbeat, time.Duration(reply.GrantedMs)*time.Millisecond)
		r.node.HandleHandover(now, decodeHandover(reply.Handover))
	})
}

func (r *Runtime) exchangeGossip(ctx context.Context, to Member, msg *memberpb.News) {
	reply, err := call(ctx, r, to, msg, memberpb.Member.Tell)
	if err != nil {
		return
	}
	r.postResult(ctx, func(now time.Time) { r.node.MergeGossip(now, decodeGossip(reply)) })
}

func (r *Runtime) askAdmission(ctx context.Context, to Member) {
	req := &memberpb.AdmitRequest{
		Id: string(r.self.ID), AvailabilityZone: string(r.self.AvailabilityZone),
		PeerAddress: r.self.PeerAddress, Token: r.self.Token,
	}
	reply, err := call(ctx, r, to, req, memberpb.Member.Admit)
	r.postResult(ctx, func(now time.Time) {
		if err != nil {
			r.node.HandleAdmitFailure()
			return
		}
		r.node.MergeGossip(now, decodeGossip(reply.News))
		r.node.HandleAdmitReply(to, Admission(reply.Admission))
	})
}

func (r *Runtime) probe(ctx context.Context, to Member) {
	reply, err := call(ctx, r, to, &memberpb.ProbeRequest{}, memberpb.Member.Probe)
	r.postResult(ctx, func(now time.Time) { r.node.HandleProbeResult(now, to, reply.GetToken(), err == nil) })
}

func (r *Runtime) readList(ctx context.Context) {
	if r.list == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	listed, err := r.list.List(ctx)
	if err != nil {
		return
	}
	r.postResult(r.tasksCtx, func(now time.Time) { r.node.HandleInstanceList(now, listed) })
}
