package member

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"galenastair"
	"galenastair/control"
	"galenastair/peer/memberpb"
)

// Fold is another fold of the control stream; all its methods run on the control loop.
type Fold interface {
	// Name is the name of its section in snapshots.
	Name() string
	// Apply takes a record and the membership state right after its offset; a
	// record by a member that has lapsed before finds no such member in it.
	Apply(now time.Time, offset galenastair.Offset, rec galenastair.Record, state *State)
	// Snapshot returns its state.
	Snapshot() (json.RawMessage, error)
	// Restore replaces its state by a section that covers the records before an offset; raw is nil if the snapshot has none.
	Restore(now time.Time, covers galenastair.Offset, raw json.RawMessage) error
}

// Option sets up a Runtime.
type Option func(*Runtime)

// WithInstance sets who this instance is and where its peers reach it.
func WithInstance(id galenastair.InstanceID, zone galenastair.AvailabilityZone, peerAddress string) Option {
	return func(r *Runtime) {
		r.self.ID = id
		r.self.AvailabilityZone = zone
		r.self.PeerAddress = peerAddress
	}
}

// WithRegion sets the control domain.
func WithRegion(region galenastair.Region) Option {
	return func(r *Runtime) { r.stream = galenastair.ControlStream(region) }
}

// WithLoop sets the loop that owns the control state; the caller runs it.
func WithLoop(l *control.Loop) Option { return func(r *Runtime) { r.loop = l } }

// WithClock sets the clock.
func WithClock(c galenastair.Clock) Option { return func(r *Runtime) { r.clock = c } }

// WithInstanceList sets the platform's list, which a cold start consults.
func WithInstanceList(l galenastair.InstanceList) Option { return func(r *Runtime) { r.list = l } }

// WithTiming sets the periods of the protocol; all instances need the same.
func WithTiming(t Timing) Option { return func(r *Runtime) { r.timing = t } }

// WithLogger sets where changes of membership are logged.
func WithLogger(l log.Logger) Option { return func(r *Runtime) { r.logger = l } }

// WithRegisterer sets where metrics are registered.
func WithRegisterer(p prometheus.Registerer) Option { return func(r *Runtime) { r.registerer = p } }

// WithConfigurationOffset sets how to read the configuration offset of this instance.
func WithConfigurationOffset(offset func() galenastair.Offset) Option {
	return func(r *Runtime) { r.configuration = offset }
}

// WithFold adds another fold of the control stream.
func WithFold(f Fold) Option { return func(r *Runtime) { r.folds = append(r.folds, f) } }

// WithOnChange sets what runs on the control loop after each change of epoch or own membership.
func WithOnChange(f func(*Status)) Option { return func(r *Runtime) { r.onChange = f } }

// WithSnapshotPeriod sets how often the leader writes a snapshot.
func WithSnapshotPeriod(d time.Duration) Option { return func(r *Runtime) { r.snapshotPeriod = d } }

// WithTransport sets how connections to a peer are made; each failure asks for a fresh one.
func WithTransport(t func() *http.Transport) Option { return func(r *Runtime) { r.transport = t } }

// WithDial replaces the twirp client of a peer address, for tests without sockets.
func WithDial(dial func(address string) memberpb.Member) Option {
	return func(r *Runtime) { r.dial = dial }
}
