package load

import (
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
)

// ErrConfig says that a load cannot be run as described.
var ErrConfig = eris.New("the load is not well described")

// Source is the load of one organisation.
type Source struct {
	Organisation galenastair.Organisation
	// Key goes with each request; none if empty.
	Key string
	// Models are asked at random, each as likely.
	Models []galenastair.ModelName
	// Rate is in requests a second.
	Rate float64
	// PromptBytes is the size of a prompt; its first half is the same for all of a model.
	PromptBytes int
	Tokens      int
	Chat        bool
	Stream      bool
	// Route sends requests on the users' platform; nil asks the own interface.
	Route *Route
}

// Question is what one request asks.
type Question struct {
	Model  galenastair.ModelName
	Prompt string
	Chat   bool
	Tokens int
}

// Config describes one run.
type Config struct {
	// Targets are addresses of the form IP:port; requests go to them in turn.
	Targets []string
	Sources []Source
	// Duration bounds the arrivals; open requests may then take Timeout to end.
	Duration time.Duration
	// MaxRequests bounds the arrivals in count, if not zero.
	MaxRequests int
	// MaxOpen bounds the requests open at once.
	MaxOpen int
	// Timeout bounds one request.
	Timeout time.Duration
	// Even spaces arrivals evenly; they come at random (Poisson) otherwise.
	Even bool
	Seed uint64
	// Want returns the whole answer that a question must get; nil verifies none.
	Want func(Question) string
}

const (
	defaultMaxOpen = 4096
	defaultTimeout = 30 * time.Second
	defaultTokens  = 16
)

// complete fills in what was left out and refuses what cannot be run.
func (c Config) complete() (Config, error) {
	if len(c.Targets) == 0 || len(c.Sources) == 0 || c.Duration <= 0 {
		return c, eris.Wrap(ErrConfig, "targets, sources and a duration are needed")
	}
	if c.MaxOpen == 0 {
		c.MaxOpen = defaultMaxOpen
	}
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	c.Sources = append([]Source(nil), c.Sources...)
	for i := range c.Sources {
		s := &c.Sources[i]
		if s.Route != nil && len(s.Models) == 0 {
			// a plain service needs no model
			s.Models = []galenastair.ModelName{""}
		}
		if len(s.Models) == 0 || s.Rate <= 0 {
			return c, eris.Wrapf(ErrConfig, "source %d needs models and a rate", i)
		}
		if s.Tokens == 0 {
			s.Tokens = defaultTokens
		}
	}
	return c, nil
}
