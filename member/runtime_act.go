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

// appendTimeout is after how long an append counts as unknown; the fold decides.
const appendTimeout = 5 * time.Second

// act carries out one action beside the control loop and posts its result to it.
func (r *Runtime) act(a Action) {
	if r.tasks == nil {
		return
	}
	ctx := r.tasksCtx
	switch a := a.(type) {
	case Append:
		r.metrics.appends.WithLabelValues(string(a.Record.Kind)).Inc()
		r.task(func() { r.append(ctx, a.Record) })
	case SendHeartbeat:
		now := r.clock.Now()
		fresh := now.Sub(r.joinedAt) < r.timing.Spread
		req := encodeHeartbeat(a.Beat)
		req.News = encodeNews(r.node.News(now, false))
		req.Fresh = fresh
		r.task(func() { r.heartbeat(ctx, a, req) })
	case SendNews:
		news := encodeNews(r.node.News(r.clock.Now(), false))
		r.task(func() { r.exchangeNews(ctx, a.To, news) })
	case AskAdmission:
		r.task(func() { r.askAdmission(ctx, a.To) })
	case Probe:
		r.task(func() { r.probe(ctx, a.To) })
	case ReadList:
		r.task(func() { r.readList(ctx) })
	}
}

func (r *Runtime) task(f func()) {
	r.tasks.Go(func() error {
		f()
		return nil
	})
}

// post hands a result to the control loop; it is lost only when the loop has ended.
func (r *Runtime) post(ctx context.Context, f func(now time.Time)) {
	_ = r.loop.Post(ctx, func() {
		f(r.clock.Now())
		r.after()
	})
}

func (r *Runtime) append(ctx context.Context, rec galenastair.Record) {
	data, err := json.Marshal(rec)
	if err != nil {
		_ = level.Error(r.logger).Log("msg", "a record cannot be encoded", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = r.log.Append(ctx, r.stream, data)
	if errors.Is(err, galenastair.ErrAppendRefused) {
		r.post(r.tasksCtx, func(time.Time) { r.node.AppendRefused(rec.ID) })
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
	r.post(ctx, func(now time.Time) {
		r.node.MergeNews(now, decodeNews(reply.News))
		r.node.Answered(now, a.Beat, time.Duration(reply.GrantedMs)*time.Millisecond)
		r.node.TakeOver(now, decodeHandover(reply.Handover))
	})
}

func (r *Runtime) exchangeNews(ctx context.Context, to Member, news *memberpb.News) {
	reply, err := call(ctx, r, to, news, memberpb.Member.Tell)
	if err != nil {
		return
	}
	r.post(ctx, func(now time.Time) { r.node.MergeNews(now, decodeNews(reply)) })
}

func (r *Runtime) askAdmission(ctx context.Context, to Member) {
	req := &memberpb.AdmitRequest{
		Id: string(r.self.ID), AvailabilityZone: string(r.self.AvailabilityZone),
		PeerAddress: r.self.PeerAddress, Token: r.self.Token,
	}
	reply, err := call(ctx, r, to, req, memberpb.Member.Admit)
	r.post(ctx, func(now time.Time) {
		if err != nil {
			r.node.AdmissionFailed()
			return
		}
		r.node.MergeNews(now, decodeNews(reply.News))
		r.node.AdmissionAnswered(to, Admission(reply.Admission))
	})
}

func (r *Runtime) probe(ctx context.Context, to Member) {
	reply, err := call(ctx, r, to, &memberpb.ProbeRequest{}, memberpb.Member.Probe)
	r.post(ctx, func(now time.Time) { r.node.Probed(now, to, reply.GetToken(), err == nil) })
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
	r.post(r.tasksCtx, func(now time.Time) { r.node.Listed(now, listed) })
}
