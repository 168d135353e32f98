package rate

import (
	"context"
	"net/http"
	"time"

	"galenastair"
	"galenastair/peer/ratepb"
)

// Handler returns the HTTP handler for exchanges of other instances.
func (l *Limiter) Handler() http.Handler { return ratepb.NewRateServer(server{l}) }

// Server returns the server for exchanges of other instances without HTTP, for tests
// and measurements.
func (l *Limiter) Server() ratepb.Rate { return server{l} }

type server struct{ limiter *Limiter }

// Exchange applies reports before it answers loan requests, so that the tokens they
// return can be lent at once.
func (s server) Exchange(_ context.Context, r *ratepb.ExchangeRequest) (*ratepb.ExchangeReply, error) {
	l := s.limiter
	borrower := galenastair.InstanceID(r.Borrower)
	l.lender.settle(l.clock.Now(), toReports(borrower, r.Reports)...)
	l.lender.receiveHandovers(l.clock.Now(), toHandovers(r.Handovers)...)
	reply := &ratepb.ExchangeReply{Folded: int64(l.contracts().Offset())}
	for _, a := range r.Asks {
		resp := l.lender.lend(l.clock.Now(), toLoanRequest(borrower, a))
		reply.Offers = append(reply.Offers, fromLoanResponse(resp))
	}
	return reply, nil
}

func (l *Limiter) newHTTPClient(p galenastair.Peer) ratepb.Rate {
	return ratepb.NewRateProtobufClient("http://"+p.Address, l.httpClient)
}

func toLoanRequest(borrower galenastair.InstanceID, a *ratepb.Ask) LoanRequest {
	return LoanRequest{
		ShareID: ShareID{galenastair.Organisation(a.Organisation), Slot(a.Slot)},
		ID:      LoanID{borrower, LoanNumber(a.Number)},
		Need:    galenastair.Tokens(a.Need),
		Want:    galenastair.Tokens(a.Want),
	}
}

func toReports(borrower galenastair.InstanceID, list []*ratepb.Report) []Report {
	reports := make([]Report, 0, len(list))
	for _, r := range list {
		reports = append(reports, Report{
			ShareID: ShareID{galenastair.Organisation(r.Organisation), Slot(r.Slot)},
			ID:      LoanID{borrower, LoanNumber(r.Number)},
			Spent:   galenastair.Tokens(r.Spent),
		})
	}
	return reports
}

func toHandovers(list []*ratepb.Handover) []Handover {
	handovers := make([]Handover, 0, len(list))
	for _, h := range list {
		handovers = append(handovers, Handover{
			ShareID: ShareID{galenastair.Organisation(h.Organisation), Slot(h.Slot)},
			Epoch:   galenastair.Epoch(h.Epoch),
			Limits:  Limits{Rate: ShareRate(h.Rate), Burst: galenastair.Tokens(h.Burst)},
			Level:   galenastair.Tokens(max(0, h.Level)),
			Lent:    galenastair.Tokens(max(0, h.Lent)),
			Delay:   time.Duration(h.DelayMilliseconds) * time.Millisecond,
		})
	}
	return handovers
}

func fromHandover(h Handover) *ratepb.Handover {
	return &ratepb.Handover{
		Organisation: string(h.ShareID.Organisation),
		Slot:         int32(h.ShareID.Slot),
		Epoch:        int64(h.Epoch),
		Rate:         int64(h.Limits.Rate),
		Burst:        int64(h.Limits.Burst),
		Level:        int64(h.Level),
		Lent:         int64(h.Lent),
		// rounded up: with a shorter delay the successor would refill too early
		DelayMilliseconds: (h.Delay + time.Millisecond - 1).Milliseconds(),
	}
}

func toExchangeRequest(self galenastair.InstanceID, content exchangeContent) *ratepb.ExchangeRequest {
	r := &ratepb.ExchangeRequest{Borrower: string(self)}
	for _, h := range content.handovers {
		r.Handovers = append(r.Handovers, fromHandover(h))
	}
	for _, a := range content.loanRequests {
		r.Asks = append(r.Asks, &ratepb.Ask{
			Organisation: string(a.ShareID.Organisation),
			Slot:         int32(a.ShareID.Slot),
			Number:       uint64(a.ID.Number),
			Need:         int64(a.Need),
			Want:         int64(a.Want),
		})
	}
	for _, report := range content.batch.sorted() {
		r.Reports = append(r.Reports, &ratepb.Report{
			Organisation: string(report.ShareID.Organisation),
			Slot:         int32(report.ShareID.Slot),
			Number:       uint64(report.ID.Number),
			Spent:        int64(report.Spent),
		})
	}
	return r
}

func fromLoanResponse(resp LoanResponse) *ratepb.Offer {
	return &ratepb.Offer{
		Serves:            resp.Serves,
		Tokens:            int64(resp.Tokens),
		Available:         int64(resp.State.Available),
		Rate:              int64(resp.State.Limits.Rate),
		Burst:             int64(resp.State.Limits.Burst),
		DelayMilliseconds: resp.State.Delay.Milliseconds(),
	}
}

// toLoanResponse converts the reply to a request for a single loan.
func toLoanResponse(r *ratepb.ExchangeReply) LoanResponse {
	if len(r.Offers) != 1 {
		return LoanResponse{}
	}
	o := r.Offers[0]
	return LoanResponse{
		Serves: o.Serves,
		Tokens: galenastair.Tokens(o.Tokens),
		State: ShareState{
			Available: galenastair.Tokens(o.Available),
			Limits: Limits{
				Rate:  ShareRate(o.Rate),
				Burst: galenastair.Tokens(o.Burst),
			},
			Delay: time.Duration(o.DelayMilliseconds) * time.Millisecond,
		},
	}
}
