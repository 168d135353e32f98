package membudget

import (
	"sync"
	"time"

	"galenastair"
)

// Side is what bytes are held for.
type Side int

// The sides of an exchange.
const (
	// Connections are the buffers and stacks that each request needs.
	Connections Side = iota
	// Bodies are request bodies that are kept until the request can not be sent again.
	Bodies
	// Answers are responses that are read before their callers get any of it.
	Answers
	// Events are incomplete events of streams, and complete ones that are being written.
	Events

	sides
)

// Sides are all sides.
var Sides = [...]Side{Connections, Bodies, Answers, Events}

// String returns the side's name in logs and metrics.
func (s Side) String() string { return [...]string{"Connections", "Bodies", "Answers", "Events"}[s] }

const (
	// ExchangeBytes is what a request holds besides its body and answer: stacks of two goroutines
	// (18 KB), read and write buffers of two connections and other objects (26 KB), as measured with
	// 2,000 requests in flight, and unsent bytes of sockets.
	ExchangeBytes galenastair.Bytes = 48 << 10
	// SocketBuffer is the size of a socket's send or receive buffer. With a round-trip time of 3 ms
	// it transfers 2.5 MB/s.
	SocketBuffer = 8 << 10
	// bodyShare and answerShare are the fractions of the free memory that the body of a request and
	// a buffered answer may take. Bodies are refused if they do not fit, while answers need no buffer.
	bodyShare   = 8
	answerShare = 64
	// maxBodies is the fraction of the limit that large bodies may fill, so that backend servers that
	// read late don't keep out other requests. A body or an answer of up to smallBytes only has to fit.
	maxBodies  = 8
	smallBytes = 8 << 10
	// streamShare and passedOnShare are the fractions of the limit above which no further stream, or body
	// that is passed on as it arrives, is admitted. They hold their memory for long, and other requests
	// would find the budget full.
	streamShare   = 0.75
	passedOnShare = 0.5
	// fullFraction is the fraction of the limit that is left free by ending stalled exchanges.
	fullFraction = 8
	// stallTimeout is the default of WithStallTimeout. A caller that
	// reads 2 KB/s takes the contents of a socket's buffer within it.
	stallTimeout = 15 * time.Second
	// reclaimInterval is the least time between two looks for stalled exchanges.
	reclaimInterval = 50 * time.Millisecond
)

// Sizes of the pieces in which an answer is forwarded: SmallChunk while more than half of the limit is
// held.
const (
	Chunk      = 8 << 10
	SmallChunk = 2 << 10
)

// Budget bounds the bytes that are held for all requests of an instance.
type Budget struct {
	limit        galenastair.Bytes
	stallTimeout time.Duration

	mu          sync.Mutex
	held        galenastair.Bytes
	bySide      [sides]galenastair.Bytes
	peak        galenastair.Bytes
	refused     [sides]int64
	ended       int64
	exchanges   map[*Exchange]struct{}
	reclaimedAt time.Time
}

// Option configures a Budget.
type Option func(*Budget)

// WithStallTimeout sets the time without progress after which an exchange may be ended.
func WithStallTimeout(d time.Duration) Option { return func(b *Budget) { b.stallTimeout = d } }

// New returns a budget with a limit, nil for a limit of 0.
func New(limit galenastair.Bytes, opts ...Option) *Budget {
	if limit <= 0 {
		return nil
	}
	b := &Budget{limit: limit, stallTimeout: stallTimeout, exchanges: map[*Exchange]struct{}{}}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Exchange is the account of one request.
type Exchange struct {
	budget *Budget
	end    func()

	// endMu guards closed, so that end is not called once the account is closed.
	endMu  sync.Mutex
	closed bool

	// the budget's mutex guards the fields below
	held [sides]galenastair.Bytes
	// blockedSince is when the exchange last began to wait for its caller; zero if it does not.
	blockedSince time.Time
	ended        bool
}

// Begin opens the account of a request. It returns false if the budget is full. End is called from
// another goroutine, before the account is closed, if the exchange has to be ended because its caller
// makes no progress; it must not block.
func (b *Budget) Begin(now time.Time, end func()) (*Exchange, bool) {
	if b == nil {
		return nil, true
	}
	x := &Exchange{budget: b, end: end}
	b.mu.Lock()
	fits := b.held+ExchangeBytes <= b.limit
	if fits {
		b.exchanges[x] = struct{}{}
		b.add(x, Connections, ExchangeBytes)
	} else {
		b.refused[Connections]++
	}
	stalled := b.stalled(now)
	b.mu.Unlock()
	stalled.stop()
	if !fits {
		return nil, false
	}
	return x, true
}

func (b *Budget) add(x *Exchange, s Side, n galenastair.Bytes) {
	x.held[s] += n
	b.bySide[s] += n
	b.held += n
	b.peak = max(b.peak, b.held)
}

// stalled returns the exchange to end: if the budget is nearly full, the one that holds the most of
// those that wait for their callers for stallTimeout.
func (b *Budget) stalled(now time.Time) *Exchange {
	if b.limit-b.held >= b.limit/fullFraction || now.Sub(b.reclaimedAt) < reclaimInterval {
		return nil
	}
	b.reclaimedAt = now
	var out *Exchange
	for x := range b.exchanges {
		if x.ended || x.blockedSince.IsZero() || now.Sub(x.blockedSince) < b.stallTimeout {
			continue
		}
		if out == nil || x.total() > out.total() {
			out = x
		}
	}
	if out != nil {
		out.ended = true
		b.ended++
	}
	return out
}

func (x *Exchange) total() galenastair.Bytes {
	var n galenastair.Bytes
	for _, held := range x.held {
		n += held
	}
	return n
}

// stop calls the exchange's end function.
func (x *Exchange) stop() {
	if x == nil {
		return
	}
	x.endMu.Lock()
	defer x.endMu.Unlock()
	if !x.closed {
		x.end()
	}
}

// Ended reports whether the exchange was ended because its caller made no progress.
func (x *Exchange) Ended() bool {
	if x == nil {
		return false
	}
	x.budget.mu.Lock()
	defer x.budget.mu.Unlock()
	return x.ended
}

// Close closes the account and returns all that it holds.
func (x *Exchange) Close() {
	if x == nil {
		return
	}
	x.endMu.Lock()
	x.closed = true
	x.endMu.Unlock()
	b := x.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range Sides {
		b.add(x, s, -x.held[s])
	}
	delete(b.exchanges, x)
}

// ReserveBody reserves memory for a request body, or a further part of it. It returns false if it does
// not fit.
func (x *Exchange) ReserveBody(now time.Time, n galenastair.Bytes) bool {
	if x == nil {
		return true
	}
	b := x.budget
	b.mu.Lock()
	total, free := x.held[Bodies]+n, b.limit-b.held
	fits := n <= free
	if total > smallBytes {
		fits = total <= free/bodyShare && b.bySide[Bodies]+n <= b.limit/maxBodies
	}
	if fits {
		b.add(x, Bodies, n)
	} else {
		b.refused[Bodies]++
	}
	stalled := b.stalled(now)
	b.mu.Unlock()
	stalled.stop()
	return fits
}

// AdmitStream reports whether the request may hold its memory for as long as a stream takes.
func (x *Exchange) AdmitStream() bool { return x.admit(streamShare) }

// AdmitPassedOn reports whether the request's body may be passed on as it arrives.
func (x *Exchange) AdmitPassedOn() bool { return x.admit(passedOnShare) }

// admit reports whether less than a fraction of the limit is held.
func (x *Exchange) admit(share float64) bool {
	if x == nil {
		return true
	}
	b := x.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if float64(b.held) <= share*float64(b.limit) {
		return true
	}
	b.refused[Connections]++
	return false
}

// ReserveAnswer reserves memory for an answer of up to most bytes, instead of an earlier one, and returns
// how much of it may be buffered.
func (x *Exchange) ReserveAnswer(most galenastair.Bytes) galenastair.Bytes {
	if x == nil {
		return most
	}
	b := x.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	free := b.limit - b.held + x.held[Answers]
	n := max(0, min(most, max(free/answerShare, min(free, smallBytes))))
	if n < most {
		b.refused[Answers]++
	}
	b.add(x, Answers, n-x.held[Answers])
	return n
}

// Set replaces the bytes that the exchange holds for a side.
func (x *Exchange) Set(s Side, n galenastair.Bytes) {
	if x == nil {
		return
	}
	b := x.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(x, s, n-x.held[s])
}

// Block records that the exchange waits for its caller, to take or to send bytes.
func (x *Exchange) Block(now time.Time) {
	if x == nil {
		return
	}
	x.budget.mu.Lock()
	defer x.budget.mu.Unlock()
	x.blockedSince = now
}

// Unblock records that the caller has taken or sent bytes.
func (x *Exchange) Unblock() { x.Block(time.Time{}) }

// ChunkBytes returns the size of the pieces in which an answer is forwarded, standard without a budget.
func (x *Exchange) ChunkBytes(standard int) int {
	if x == nil {
		return standard
	}
	x.budget.mu.Lock()
	defer x.budget.mu.Unlock()
	if x.budget.held > x.budget.limit/2 {
		return SmallChunk
	}
	return Chunk
}

// EventLimit returns the size up to which an event is kept together, standard without a budget.
func (x *Exchange) EventLimit(standard int) int {
	if x == nil {
		return standard
	}
	x.budget.mu.Lock()
	defer x.budget.mu.Unlock()
	return max(Chunk, min(standard, int((x.budget.limit-x.budget.held)/answerShare)))
}

// State is a snapshot of a budget.
type State struct {
	Limit, Held, Peak galenastair.Bytes
	// BySide is what is held, and Refused how often something did not fit, by the name of the side.
	BySide    map[string]galenastair.Bytes
	Refused   map[string]int64
	Exchanges int
	// Ended counts the exchanges that were ended because their callers made no progress.
	Ended int64
}

// State returns a snapshot, the zero State for a nil Budget.
func (b *Budget) State() State {
	if b == nil {
		return State{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := State{Limit: b.limit, Held: b.held, Peak: b.peak, Exchanges: len(b.exchanges), Ended: b.ended,
		BySide: map[string]galenastair.Bytes{}, Refused: map[string]int64{}}
	for _, side := range Sides {
		s.BySide[side.String()], s.Refused[side.String()] = b.bySide[side], b.refused[side]
	}
	return s
}
