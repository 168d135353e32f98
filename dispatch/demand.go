package dispatch

import "galenastair"

// servedMemory is how many requests of an organisation the share of good service
// looks back on.
const servedMemory = 64

// poorFactor is how much more the demand of a badly served organisation counts. At
// 1, requests of one whose requests are all late count twice. Much more distorts the
// forecast of a model's load: at 4 a moving skew was served worse, for the worst
// organisation too.
const poorFactor = 1

// maxServed bounds the organisations remembered on an entry.
const maxServed = 4096

// served is the share of an organisation's recent requests that were served well.
type served struct {
	poor float64
}

// Demand counts what was asked of one model on this entry since it started.
type Demand struct {
	Model        galenastair.ModelName
	Requests     int64
	Refused      int64
	PromptTokens galenastair.Tokens
	// PermittedTokens is what the answers might have had, OutputTokens what they had.
	PermittedTokens galenastair.Tokens
	OutputTokens    galenastair.Tokens
	// Work is prompt and permitted tokens, counted more for organisations that are
	// badly served: placement follows it, so the worst served come first.
	Work float64
}

// promptWork is the work of a prompt token against that of an output token: an
// engine reads some ten prompt tokens in the time in which a batch writes one.
const promptWork = 0.1

func (c *Core) offered(m *model, r Request) {
	d := &m.demand
	d.Model = r.Model
	d.Requests++
	d.PromptTokens += r.PromptTokens
	d.PermittedTokens += r.OutputTokens
	work := promptWork*float64(r.PromptTokens) + float64(r.OutputTokens)
	if s := c.served[r.Organisation]; s != nil {
		work *= 1 + poorFactor*s.poor
	}
	d.Work += work
}

func (c *Core) record(t *Ticket, good bool) {
	s := c.served[t.Request.Organisation]
	if s == nil {
		if len(c.served) >= maxServed {
			clear(c.served)
		}
		s = &served{}
		c.served[t.Request.Organisation] = s
	}
	sample := 1.0
	if good {
		sample = 0
	}
	s.poor += (sample - s.poor) / servedMemory
}

// Demand returns the counts of every model asked for so far.
func (c *Core) Demand() []Demand {
	out := make([]Demand, 0, len(c.models))
	for _, m := range c.models {
		out = append(out, m.demand)
	}
	return out
}

// Waiting returns the number of requests that wait for a backend server.
func (c *Core) Waiting() int { return len(c.tickets) }
