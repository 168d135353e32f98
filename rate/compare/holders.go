package compare

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"galenastair"
	"galenastair/peer/ratepb"
	"galenastair/rate"
)

const (
	// tickPeriod is as often as the product polls and flushes.
	tickPeriod = 100 * time.Millisecond
	// headers1 and headers2 are what HTTP/1.1 and HTTP/2 add to a message and its
	// answer, both together, on an open connection (rate's BenchmarkExchangeBytes).
	headers1 = 354
	headers2 = 50
	// smallMessage is the content of one charge or refund and its answer.
	smallMessage = 65
)

var errDead = errors.New("no answer")

// holders is the product's own limiters, calling each other directly.
type holders struct {
	mu            sync.Mutex
	site          *site
	contract      rate.Contract
	organisations []galenastair.Organisation
	peers         []galenastair.Peer
	limiters      []*rate.Limiter
	dead          map[int]bool
	gone          map[int]bool
	epoch         galenastair.Epoch
	owners        map[galenastair.Organisation][]galenastair.Peer
	requests      int
	sent          cost
}

// single is the organisation of the runs that have only one.
const single = galenastair.Organisation("organisation")

func newHolders(s *site, c rate.Contract, organisations []galenastair.Organisation, opts ...rate.Option) *holders {
	h := &holders{
		site: s, contract: c, organisations: organisations, epoch: 1,
		dead: make(map[int]bool), gone: make(map[int]bool),
	}
	for i := range s.instances {
		h.peers = append(h.peers, galenastair.Peer{
			ID:               galenastair.InstanceID(fmt.Sprint("entry-", i)),
			AvailabilityZone: galenastair.AvailabilityZone(fmt.Sprint("zone-", i%s.zones)),
		})
	}
	h.rank()
	for i := range s.instances {
		view := view{h, i}
		all := append([]rate.Option{
			rate.WithClock(view),
			rate.WithFirstLoan(1 << 47),
			rate.WithConnect(func(p galenastair.Peer) ratepb.Rate { return link{h, p} }),
		}, opts...)
		h.limiters = append(h.limiters, rate.New(view.duties, view.contracts, all...))
	}
	return h
}

// rank gives each organisation its holders; the first is instance 0 in the runs with one organisation.
func (h *holders) rank() {
	h.owners = make(map[galenastair.Organisation][]galenastair.Peer)
	for _, o := range h.organisations {
		var list []galenastair.Peer
		for i, p := range h.peers {
			if !h.gone[i] {
				list = append(list, p)
			}
		}
		if o != single {
			slices.SortFunc(list, func(a, b galenastair.Peer) int { return cmp.Compare(score(o, a), score(o, b)) })
		}
		h.owners[o] = list[:rate.Holders]
	}
}

func score(o galenastair.Organisation, p galenastair.Peer) uint64 {
	return xxhash.Sum64String(string(o) + "/" + string(p.ID))
}

func (h *holders) charge(i int, n galenastair.Tokens) func(galenastair.Tokens) {
	return h.chargeFor(single, i, n)
}

func (h *holders) chargeFor(o galenastair.Organisation, i int, n galenastair.Tokens) func(galenastair.Tokens) {
	h.requests++
	id := galenastair.RequestID(fmt.Sprint(h.requests))
	r, err := h.limiters[i].Charge(context.Background(), o, n, id)
	if err != nil {
		return nil
	}
	return r.Settle
}

func (h *holders) tick() {
	for i, l := range h.limiters {
		if !h.dead[i] {
			l.Poll(context.Background())
			l.Flush(context.Background())
		}
	}
}

func (h *holders) kill(i int) { h.dead[i] = true }

func (h *holders) lapse(i int) {
	h.gone[i] = true
	h.epoch++
	h.rank()
}

func (h *holders) cost() cost { return h.sent }

// view is what one instance sees.
type view struct {
	holders *holders
	index   int
}

func (v view) Now() time.Time                            { return v.holders.site.now }
func (v view) duties() rate.Duties                       { return v }
func (v view) contracts() rate.Contracts                 { return v }
func (v view) Self() galenastair.Peer                    { return v.holders.peers[v.index] }
func (v view) Epoch() galenastair.Epoch                  { return v.holders.epoch }
func (v view) Incarnation() int64                        { return 1 }
func (v view) Offset() galenastair.Offset                { return 1 }
func (v view) Organisations() []galenastair.Organisation { return v.holders.organisations }

func (v view) Owner(a rate.Account) (galenastair.Peer, bool) {
	return v.holders.owners[a.Organisation][a.Slot], true
}

func (v view) Holds(a rate.Account, _ time.Time) bool {
	p, _ := v.Owner(a)
	return p == v.Self()
}

func (v view) Serves(a rate.Account, _ time.Time) bool {
	p, _ := v.Owner(a)
	return p == v.Self()
}

func (v view) Contract(galenastair.Organisation) (rate.Contract, bool) {
	return v.holders.contract, true
}

// link calls one limiter and counts what is sent.
type link struct {
	holders *holders
	to      galenastair.Peer
}

func (l link) Exchange(ctx context.Context, r *ratepb.ExchangeRequest) (*ratepb.ExchangeReply, error) {
	h := l.holders
	i := slices.Index(h.peers, l.to)
	if h.dead[i] {
		h.count(proto.Size(r))
		return nil, errDead
	}
	reply, err := h.limiters[i].Server().Exchange(ctx, r)
	h.count(proto.Size(r) + proto.Size(reply))
	return reply, err
}

// count is called from the limiters' own goroutines.
func (h *holders) count(bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent.messages++
	h.sent.content += bytes
}
