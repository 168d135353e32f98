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

// Server carries requests.
type Server struct {
	configuration Configuration
	lease         Lease
	limiter       Limiter
	claims        Claims
	dispatcher    Dispatcher
	services      Services
	poison        Poison
	retries       RetryBudget
	engine        galenastair.Engine
	service       galenastair.Service
	recorder      Recorder
	clock         galenastair.Clock
	logger        log.Logger
	active        *Active
	estimator     *estimator
	debts         *debts
	wait          func(context.Context, time.Duration) bool
}

// Ports are what a server works with; all are needed.
type Ports struct {
	Configuration Configuration
	Lease         Lease
	Limiter       Limiter
	Claims        Claims
	Dispatcher    Dispatcher
	Services      Services
	Poison        Poison
	Retries       RetryBudget
	Engine        galenastair.Engine
	Service       galenastair.Service
}

// Option changes how a server is made.
type Option func(*Server)

// WithClock replaces the machine's clock.
func WithClock(c galenastair.Clock) Option { return func(s *Server) { s.clock = c } }

// WithLogger says where decisions are logged.
func WithLogger(l log.Logger) Option { return func(s *Server) { s.logger = l } }

// WithRecorder says who counts how requests ended.
func WithRecorder(r Recorder) Option { return func(s *Server) { s.recorder = r } }

// NewServer returns a server over its ports.
func NewServer(p Ports, opts ...Option) *Server {
	s := &Server{
		configuration: p.Configuration,
		lease:         p.Lease,
		limiter:       p.Limiter,
		claims:        p.Claims,
		dispatcher:    p.Dispatcher,
		services:      p.Services,
		poison:        p.Poison,
		retries:       p.Retries,
		engine:        p.Engine,
		service:       p.Service,
		recorder:      noRecorder{},
		clock:         galenastair.SystemClock{},
		logger:        log.NewNopLogger(),
		active:        NewActive(),
		estimator:     newEstimator(),
		debts:         newDebts(),
		wait:          timer.Wait,
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Active returns the requests under way, for ending those of withdrawn keys.
func (s *Server) Active() *Active { return s.active }

// retryNotMember is when a caller may come back to an instance without a lease:
// it rejoins within a few heartbeats, and the balancer has others meanwhile.
const retryNotMember = 2 * time.Second

// authority is what a key gives its caller.
type authority struct {
	organisation galenastair.Organisation
	contract     *contract.Contract
}

// authorise looks a key up in the configuration in force.
func authorise(v *config.View, key galenastair.KeyHash) (authority, error) {
	if v == nil {
		return authority{}, galenastair.Refuse(galenastair.ErrConfiguration, retryNotMember, "")
	}
	k, ok := v.ByKey(key)
	if !ok {
		return authority{}, galenastair.Refuse(galenastair.ErrKeyUnknown, 0, "")
	}
	if k.Withdrawn || k.Contract == nil {
		return authority{}, galenastair.Refuse(galenastair.ErrKeyWithdrawn, 0, "")
	}
	return authority{organisation: k.Organisation, contract: k.Contract}, nil
}

// mayServe checks lease and key. It is asked at admission and again right
// before sending: a request may have waited in the queue while its key was
// withdrawn, or while this process was paused past its lease.
func (s *Server) mayServe(key galenastair.KeyHash) (authority, error) {
	if !s.lease.Holds(s.clock.Now()) {
		return authority{}, galenastair.Refuse(galenastair.ErrNotMember, retryNotMember, "")
	}
	// Failure: a group of instances cut off from the log and the rest goes on with
	// an old configuration, and lets a withdrawn key in; callers that hold a
	// connection never ask /readyz.
	if !s.configuration.Ready() {
		return authority{}, galenastair.Refuse(galenastair.ErrConfiguration, retryNotMember, "")
	}
	return authorise(s.configuration.View(), key)
}

// Models lists what the key's organisation may ask for.
func (s *Server) Models(key galenastair.KeyHash) ([]galenastair.ModelName, error) {
	a, err := s.mayServe(key)
	if err != nil {
		return nil, err
	}
	return a.contract.Models, nil
}

// retryBackendServer is when a caller may come back after a failed backend
// server: by then it is taken out, or was one of several.
const retryBackendServer = time.Second

// refusalOf gives an error the outcome that the request has reached so far,
// unless the error already carries its own.
func refusalOf(err error, o galenastair.Outcome) *galenastair.Refusal {
	var r *galenastair.Refusal
	switch {
	case errors.As(err, &r):
		return r.After(o)
	case errors.Is(err, context.DeadlineExceeded):
		return &galenastair.Refusal{Cause: galenastair.ErrTimeout, Outcome: o}
	case o == galenastair.Ran:
		return &galenastair.Refusal{Cause: galenastair.ErrAnswerCut, Outcome: o, Detail: err.Error()}
	default:
		return &galenastair.Refusal{Cause: galenastair.ErrBackendServer, Outcome: o, RetryAfter: retryBackendServer, Detail: err.Error()}
	}
}
