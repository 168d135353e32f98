package request

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log"

	"galenastair"
	"galenastair/config"
	"galenastair/contract"
	"galenastair/timer"
)

// Server serves model requests and calls to plain services.
type Server struct {
	configuration ConfigurationSource
	lease         Lease
	limiter       Limiter
	claims        Claims
	dispatcher    Dispatcher
	services      Services
	poison        PoisonTracker
	retries       RetryBudget
	engine        galenastair.Engine
	service       galenastair.Service
	recorder      Recorder
	clock         galenastair.Clock
	logger        log.Logger
	active        *ActiveRequests
	estimator     *estimator
	debts         *debts
	sleep         func(context.Context, time.Duration) bool
}

// Dependencies are the components that a Server needs; all are required.
type Dependencies struct {
	Configuration ConfigurationSource
	Lease         Lease
	Limiter       Limiter
	Claims        Claims
	Dispatcher    Dispatcher
	Services      Services
	Poison        PoisonTracker
	Retries       RetryBudget
	Engine        galenastair.Engine
	Service       galenastair.Service
}

// Option configures a Server.
type Option func(*Server)

// WithClock replaces the system clock.
func WithClock(c galenastair.Clock) Option { return func(s *Server) { s.clock = c } }

// WithLogger sets the logger for routing decisions, retries and refusals.
func WithLogger(l log.Logger) Option { return func(s *Server) { s.logger = l } }

// WithRecorder sets the recorder of finished requests.
func WithRecorder(r Recorder) Option { return func(s *Server) { s.recorder = r } }

// NewServer returns a server with the given dependencies.
func NewServer(d Dependencies, opts ...Option) *Server {
	s := &Server{
		configuration: d.Configuration,
		lease:         d.Lease,
		limiter:       d.Limiter,
		claims:        d.Claims,
		dispatcher:    d.Dispatcher,
		services:      d.Services,
		poison:        d.Poison,
		retries:       d.Retries,
		engine:        d.Engine,
		service:       d.Service,
		recorder:      nopRecorder{},
		clock:         galenastair.SystemClock{},
		logger:        log.NewNopLogger(),
		active:        NewActiveRequests(),
		estimator:     newEstimator(),
		debts:         newDebts(),
		sleep:         timer.Wait,
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Active returns the requests in flight.
func (s *Server) Active() *ActiveRequests { return s.active }

// notMemberRetryAfter is the Retry-After of an instance that holds no lease or has no
// usable configuration. The instance rejoins within a few heartbeats, and the load
// balancer uses other instances until then.
const notMemberRetryAfter = 2 * time.Second

// principal is the organisation that a key belongs to, with its contract.
type principal struct {
	organisation galenastair.Organisation
	contract     *contract.Contract
}

// lookUpKey returns the principal of a key, or a refusal if the key is unknown or withdrawn.
func lookUpKey(v *config.View, key galenastair.KeyHash) (principal, error) {
	if v == nil {
		return principal{}, galenastair.NewRefusal(galenastair.ErrNoConfiguration, notMemberRetryAfter, "")
	}
	k, ok := v.LookupKey(key)
	if !ok {
		return principal{}, galenastair.NewRefusal(galenastair.ErrKeyUnknown, 0, "")
	}
	if k.Withdrawn || k.Contract == nil {
		return principal{}, galenastair.NewRefusal(galenastair.ErrKeyWithdrawn, 0, "")
	}
	return principal{organisation: k.Organisation, contract: k.Contract}, nil
}

// authorise checks the lease, the configuration and the key. It is called at
// admission and again right before sending, because the key may have been withdrawn
// while the request was queued, or the process may have been paused until after its
// lease expired.
func (s *Server) authorise(key galenastair.KeyHash) (principal, error) {
	if !s.lease.HoldsLease(s.clock.Now()) {
		return principal{}, galenastair.NewRefusal(galenastair.ErrNotMember, notMemberRetryAfter, "")
	}
	// Instances that are partitioned from the log and the other instances would
	// otherwise accept withdrawn keys with a stale configuration. /readyz does not
	// protect against this, since callers with an open connection do not check it.
	if !s.configuration.Ready() {
		return principal{}, galenastair.NewRefusal(galenastair.ErrNoConfiguration, notMemberRetryAfter, "")
	}
	return lookUpKey(s.configuration.View(), key)
}

// Models returns the models that the key's organisation may use.
func (s *Server) Models(key galenastair.KeyHash) ([]galenastair.ModelName, error) {
	p, err := s.authorise(key)
	if err != nil {
		return nil, err
	}
	return p.contract.Models, nil
}

// backendServerRetryAfter is the Retry-After of a request that failed on a backend
// server. By then the server has been taken out of rotation, or the request is
// likely to go to another one.
const backendServerRetryAfter = time.Second

// refusalOf converts an error into a refusal with the outcome of the request so far,
// unless the error is a refusal that already has an outcome other than NotRun.
func refusalOf(err error, o galenastair.Outcome) *galenastair.Refusal {
	var refusal *galenastair.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal.WithOutcome(o)
	case errors.Is(err, context.DeadlineExceeded):
		return &galenastair.Refusal{Cause: galenastair.ErrTimeout, Outcome: o}
	case o == galenastair.OutcomeRan:
		return &galenastair.Refusal{Cause: galenastair.ErrResponseTruncated, Outcome: o, Detail: err.Error()}
	default:
		return &galenastair.Refusal{Cause: galenastair.ErrBackendFailed, Outcome: o, RetryAfter: backendServerRetryAfter, Detail: err.Error()}
	}
}
