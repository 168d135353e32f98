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
	// tickInterval is the interval at which the limiters' Reconcile and Flush run.
	tickInterval = 100 * time.Millisecond
	// http1HeaderBytes and http2HeaderBytes are the bytes that HTTP/1.1 and HTTP/2 add
	// to a message and its response together, on an open connection (rate's
	// BenchmarkExchangeBytes).
	http1HeaderBytes = 354
	http2HeaderBytes = 50
	// chargeMessageBytes is the content of one charge or refund and its response.
	chargeMessageBytes = 65
)

var errUnavailable = errors.New("no answer")

// sharedHolders is the strategy of package rate, with limiters that call each other
// directly.
type sharedHolders struct {
	mu            sync.Mutex
	env           *environment
	contract      rate.Contract
	organisations []galenastair.Organisation
	peers         []galenastair.Peer
	limiters      []*rate.Limiter
	down          map[int]bool
	removed       map[int]bool
	epoch         galenastair.Epoch
	owners        map[galenastair.Organisation][]galenastair.Peer
	requests      int
	sent          traffic
}

// singleOrganisation is the organisation of the runs that have only one.
const singleOrganisation = galenastair.Organisation("organisation")

func newSharedHolders(env *environment, c rate.Contract, organisations []galenastair.Organisation, opts ...rate.Option) *sharedHolders {
	h := &sharedHolders{
		env: env, contract: c, organisations: organisations, epoch: 1,
		down: make(map[int]bool), removed: make(map[int]bool),
	}
	for i := range env.instances {
		h.peers = append(h.peers, galenastair.Peer{
			ID:               galenastair.InstanceID(fmt.Sprint("entry-", i)),
			AvailabilityZone: galenastair.AvailabilityZone(fmt.Sprint("zone-", i%env.zones)),
		})
	}
	h.assignOwners()
	for i := range env.instances {
		view := view{h, i}
		all := append([]rate.Option{
			rate.WithClock(view),
			rate.WithFirstLoanNumber(1 << 47),
			rate.WithRateClient(func(p galenastair.Peer) ratepb.Rate { return directClient{h, p} }),
		}, opts...)
		h.limiters = append(h.limiters, rate.New(view.assignment, view.contracts, all...))
	}
	return h
}

// assignOwners ranks the instances for each organisation. For singleOrganisation the
// first owner is instance 0.
func (h *sharedHolders) assignOwners() {
	h.owners = make(map[galenastair.Organisation][]galenastair.Peer)
	for _, o := range h.organisations {
		var list []galenastair.Peer
		for i, p := range h.peers {
			if !h.removed[i] {
				list = append(list, p)
			}
		}
		if o != singleOrganisation {
			slices.SortFunc(list, func(a, b galenastair.Peer) int { return cmp.Compare(rankHash(o, a), rankHash(o, b)) })
		}
		h.owners[o] = list[:rate.Holders]
	}
}

func rankHash(o galenastair.Organisation, p galenastair.Peer) uint64 {
	return xxhash.Sum64String(string(o) + "/" + string(p.ID))
}

func (h *sharedHolders) charge(i int, n galenastair.Tokens) func(galenastair.Tokens) {
	return h.chargeFor(singleOrganisation, i, n)
}

func (h *sharedHolders) chargeFor(o galenastair.Organisation, i int, n galenastair.Tokens) func(galenastair.Tokens) {
	h.requests++
	id := galenastair.RequestID(fmt.Sprint(h.requests))
	r, err := h.limiters[i].Charge(context.Background(), o, n, id)
	if err != nil {
		return nil
	}
	return r.Settle
}

func (h *sharedHolders) tick() {
	for i, l := range h.limiters {
		if !h.down[i] {
			l.Reconcile(context.Background())
			l.Flush(context.Background())
		}
	}
}

func (h *sharedHolders) fail(i int) { h.down[i] = true }

func (h *sharedHolders) takeOver(i int) {
	h.removed[i] = true
	h.epoch++
	h.assignOwners()
}

func (h *sharedHolders) traffic() traffic { return h.sent }

// view implements rate.Assignment, rate.Contracts and the clock for one instance.
type view struct {
	holders *sharedHolders
	index   int
}

func (v view) Now() time.Time                            { return v.holders.env.now }
func (v view) assignment() rate.Assignment               { return v }
func (v view) contracts() rate.Contracts                 { return v }
func (v view) Self() galenastair.Peer                    { return v.holders.peers[v.index] }
func (v view) Epoch() galenastair.Epoch                  { return v.holders.epoch }
func (v view) Incarnation() int64                        { return 1 }
func (v view) Offset() galenastair.Offset                { return 1 }
func (v view) Organisations() []galenastair.Organisation { return v.holders.organisations }

func (v view) Owner(id rate.ShareID) (galenastair.Peer, bool) {
	return v.holders.owners[id.Organisation][id.Slot], true
}

func (v view) Owns(id rate.ShareID, _ time.Time) bool {
	p, _ := v.Owner(id)
	return p == v.Self()
}

func (v view) Serves(id rate.ShareID, _ time.Time) bool {
	p, _ := v.Owner(id)
	return p == v.Self()
}

func (v view) Contract(galenastair.Organisation) (rate.Contract, bool) {
	return v.holders.contract, true
}

// directClient calls one limiter and counts the messages.
type directClient struct {
	holders *sharedHolders
	to      galenastair.Peer
}

func (c directClient) Exchange(ctx context.Context, r *ratepb.ExchangeRequest) (*ratepb.ExchangeReply, error) {
	h := c.holders
	i := slices.Index(h.peers, c.to)
	if h.down[i] {
		h.addTraffic(proto.Size(r))
		return nil, errUnavailable
	}
	reply, err := h.limiters[i].Server().Exchange(ctx, r)
	h.addTraffic(proto.Size(r) + proto.Size(reply))
	return reply, err
}

// addTraffic is called from the limiters' goroutines.
func (h *sharedHolders) addTraffic(bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent.messages++
	h.sent.content += bytes
}
