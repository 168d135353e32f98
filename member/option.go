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

// StateMachine is a further state machine driven by the control stream. Its methods run on the control loop.
type StateMachine interface {
	// Name is the name of its section in snapshots.
	Name() string
	// Apply applies a record. The membership state is the one right after the record's offset,
	// so the author of the record is not in its ring if it has been declared lapsed before.
	Apply(now time.Time, offset galenastair.Offset, rec galenastair.Record, state *State)
	// Snapshot returns the encoded state.
	Snapshot() (json.RawMessage, error)
	// Restore replaces the state by a snapshot section that covers the records before an offset.
	// The section is nil if the snapshot has none.
	Restore(now time.Time, covers galenastair.Offset, raw json.RawMessage) error
}

// Option configures a Runtime.
type Option func(*Runtime)

// WithInstance sets the identity of this instance and the address at which its peers reach it.
func WithInstance(id galenastair.InstanceID, zone galenastair.AvailabilityZone, peerAddress string) Option {
	return func(r *Runtime) {
		r.self.ID = id
		r.self.AvailabilityZone = zone
		r.self.PeerAddress = peerAddress
	}
}

// WithRegion sets the region whose control stream is used.
func WithRegion(region galenastair.Region) Option {
	return func(r *Runtime) { r.stream = galenastair.ControlStream(region) }
}

// WithLoop sets the loop that owns the control state. The caller runs it.
func WithLoop(l *control.Loop) Option { return func(r *Runtime) { r.loop = l } }

// WithClock sets the clock.
func WithClock(c galenastair.Clock) Option { return func(r *Runtime) { r.clock = c } }

// WithInstanceList sets the platform's list of instances, which is read on a cold start.
func WithInstanceList(l galenastair.InstanceList) Option { return func(r *Runtime) { r.list = l } }

// WithTiming sets the timing of the protocol. All instances must use the same.
func WithTiming(t Timing) Option { return func(r *Runtime) { r.timing = t } }

// WithLogger sets the logger for changes of membership.
func WithLogger(l log.Logger) Option { return func(r *Runtime) { r.logger = l } }

// WithRegisterer sets the registerer of the metrics.
func WithRegisterer(p prometheus.Registerer) Option { return func(r *Runtime) { r.registerer = p } }

// WithConfigurationOffset sets the function that returns this instance's configuration offset.
func WithConfigurationOffset(offset func() galenastair.Offset) Option {
	return func(r *Runtime) { r.configuration = offset }
}

// WithStateMachine adds a state machine that is driven by the control stream.
func WithStateMachine(f StateMachine) Option {
	return func(r *Runtime) { r.stateMachines = append(r.stateMachines, f) }
}

// WithOnChange sets a callback that runs on the control loop after each change of the epoch or of
// this instance's membership.
func WithOnChange(f func(*Status)) Option { return func(r *Runtime) { r.onChange = f } }

// WithSnapshotPeriod sets how often the leader writes a snapshot.
func WithSnapshotPeriod(d time.Duration) Option { return func(r *Runtime) { r.snapshotPeriod = d } }

// WithTransport sets the factory of HTTP transports. A new transport is made for each peer, and
// again after each failed call.
func WithTransport(t func() *http.Transport) Option { return func(r *Runtime) { r.transport = t } }

// WithDial replaces the Twirp client of a peer address, for tests without sockets.
func WithDial(dial func(address string) memberpb.Member) Option {
	return func(r *Runtime) { r.dial = dial }
}
