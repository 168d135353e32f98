package load

import (
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
)

// ErrConfig is returned for an invalid Config.
var ErrConfig = eris.New("invalid load configuration")

// Source is the load of one organisation.
type Source struct {
	Organisation galenastair.Organisation
	// Key is the API key sent with each request; if empty, none is sent.
	Key string
	// Models are the models requested; each request picks one uniformly at random.
	Models []galenastair.ModelName
	// Rate is the number of requests per second.
	Rate float64
	// PromptBytes is the size of a prompt. The first half is the same in all requests
	// of the source for one model.
	PromptBytes int
	// Tokens is the number of tokens requested (max_tokens); zero means 16.
	Tokens int
	Chat   bool
	Stream bool
	// Route sends requests in the format of the users' platform; if nil, they go to
	// the completions API.
	Route *Route
}

// RequestParams are the parameters of one request.
type RequestParams struct {
	Model  galenastair.ModelName
	Prompt string
	Chat   bool
	Tokens int
}

// Config configures one run.
type Config struct {
	// Targets are addresses of the form IP:port, used in round-robin order.
	Targets []string
	Sources []Source
	// Duration is how long requests arrive. Requests in flight at its end may take
	// up to Timeout to finish.
	Duration time.Duration
	// MaxRequests is the maximum number of arrivals; zero means no limit.
	MaxRequests int
	// MaxInFlight is the maximum number of concurrent requests; zero means 4096.
	MaxInFlight int
	// Timeout is the timeout of one request; zero means 30 s.
	Timeout time.Duration
	// EvenlySpaced makes the intervals between arrivals constant; otherwise arrivals
	// are a Poisson process.
	EvenlySpaced bool
	// Seed determines the arrivals, models and prompts.
	Seed uint64
	// ExpectedText returns the complete text of the response expected for a request;
	// if nil, texts are not verified.
	ExpectedText func(RequestParams) string
}

const (
	defaultMaxInFlight = 4096
	defaultTimeout     = 30 * time.Second
	defaultTokens      = 16
)

// withDefaults returns the configuration with defaults filled in, or an error if it is
// invalid.
func (c Config) withDefaults() (Config, error) {
	if len(c.Targets) == 0 || len(c.Sources) == 0 || c.Duration <= 0 {
		return c, eris.Wrap(ErrConfig, "targets, sources and a duration above zero are required")
	}
	if c.MaxInFlight == 0 {
		c.MaxInFlight = defaultMaxInFlight
	}
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	c.Sources = append([]Source(nil), c.Sources...)
	for i := range c.Sources {
		s := &c.Sources[i]
		if s.Route != nil && len(s.Models) == 0 {
			// Services that are not engines take requests without a model.
			s.Models = []galenastair.ModelName{""}
		}
		if len(s.Models) == 0 || s.Rate <= 0 {
			return c, eris.Wrapf(ErrConfig, "source %d: models and a rate above zero are required", i)
		}
		if s.Tokens == 0 {
			s.Tokens = defaultTokens
		}
	}
	return c, nil
}
