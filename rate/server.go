package rate

import (
	"context"
	"net/http"
	"time"

	"galenastair"
	"galenastair/peer/ratepb"
)

// Handler serves the other instances.
func (l *Limiter) Handler() http.Handler { return ratepb.NewRateServer(server{l}) }

// Server answers the other instances without HTTP, for tests and measurements.
func (l *Limiter) Server() ratepb.Rate { return server{l} }

type server struct{ limiter *Limiter }

// Exchange takes in reports first: what they free may be lent at once.
func (s server) Exchange(_ context.Context, r *ratepb.ExchangeRequest) (*ratepb.ExchangeReply, error) {
	l := s.limiter
	borrower := galenastair.InstanceID(r.Borrower)
	l.lender.settle(l.clock.Now(), toReports(borrower, r.Reports)...)
	l.lender.accept(l.clock.Now(), toHandovers(r.Handovers)...)
	reply := &ratepb.ExchangeReply{Folded: int64(l.contracts().Offset())}
	for _, a := range r.Asks {
		offer := l.lender.lend(l.clock.Now(), toAsk(borrower, a))
		reply.Offers = append(reply.Offers, fromOffer(offer))
	}
	return reply, nil
}

func (l *Limiter) overHTTP(p galenastair.Peer) ratepb.Rate {
	return ratepb.NewRateProtobufClient("http://"+p.Address, l.client)
}

func toAsk(borrower galenastair.InstanceID, a *ratepb.Ask) Ask {
	return Ask{
		Account: Account{galenastair.Organisation(a.Organisation), Slot(a.Slot)},
		ID:      LoanID{borrower, LoanNumber(a.Number)},
		Need:    galenastair.Tokens(a.Need),
		Want:    galenastair.Tokens(a.Want),
	}
}

func toReports(borrower galenastair.InstanceID, list []*ratepb.Report) []Report {
	reports := make([]Report, 0, len(list))
	for _, r := range list {
		reports = append(reports, Report{
			Account: Account{galenastair.Organisation(r.Organisation), Slot(r.Slot)},
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
			Account: Account{galenastair.Organisation(h.Organisation), Slot(h.Slot)},
			Epoch:   galenastair.Epoch(h.Epoch),
			Share:   Share{Rate: ShareRate(h.Rate), Burst: galenastair.Tokens(h.Burst)},
			Level:   galenastair.Tokens(max(0, h.Level)),
			Lent:    galenastair.Tokens(max(0, h.Lent)),
			Delay:   time.Duration(h.DelayMilliseconds) * time.Millisecond,
		})
	}
	return handovers
}

func fromHandover(h Handover) *ratepb.Handover {
	return &ratepb.Handover{
		Organisation: string(h.Account.Organisation),
		Slot:         int32(h.Account.Slot),
		Epoch:        int64(h.Epoch),
		Rate:         int64(h.Share.Rate),
		Burst:        int64(h.Share.Burst),
		Level:        int64(h.Level),
		Lent:         int64(h.Lent),
		// rounded up: a token that came in early would be one too many
		DelayMilliseconds: (h.Delay + time.Millisecond - 1).Milliseconds(),
	}
}

func toRequest(self galenastair.InstanceID, m message) *ratepb.ExchangeRequest {
	r := &ratepb.ExchangeRequest{Borrower: string(self)}
	for _, h := range m.handovers {
		r.Handovers = append(r.Handovers, fromHandover(h))
	}
	for _, a := range m.asks {
		r.Asks = append(r.Asks, &ratepb.Ask{
			Organisation: string(a.Account.Organisation),
			Slot:         int32(a.Account.Slot),
			Number:       uint64(a.ID.Number),
			Need:         int64(a.Need),
			Want:         int64(a.Want),
		})
	}
	for _, report := range m.out.list() {
		r.Reports = append(r.Reports, &ratepb.Report{
			Organisation: string(report.Account.Organisation),
			Slot:         int32(report.Account.Slot),
			Number:       uint64(report.ID.Number),
			Spent:        int64(report.Spent),
		})
	}
	return r
}

func fromOffer(o Offer) *ratepb.Offer {
	return &ratepb.Offer{
		Serves:            o.Serves,
		Tokens:            int64(o.Tokens),
		Available:         int64(o.State.Available),
		Rate:              int64(o.State.Share.Rate),
		Burst:             int64(o.State.Share.Burst),
		DelayMilliseconds: o.State.Delay.Milliseconds(),
	}
}

// toOffer reads the answer to a request for one loan.
func toOffer(r *ratepb.ExchangeReply) Offer {
	if len(r.Offers) != 1 {
		return Offer{}
	}
	o := r.Offers[0]
	return Offer{
		Serves: o.Serves,
		Tokens: galenastair.Tokens(o.Tokens),
		State: State{
			Available: galenastair.Tokens(o.Available),
			Share: Share{
				Rate:  ShareRate(o.Rate),
				Burst: galenastair.Tokens(o.Burst),
			},
			Delay: time.Duration(o.DelayMilliseconds) * time.Millisecond,
		},
	}
}
