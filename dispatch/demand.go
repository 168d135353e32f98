package dispatch

import "galenastair"

// qualityWindow is the number of requests over which lateShare is averaged.
const qualityWindow = 64

// lateDemandFactor is the additional weight of the demand of organisations whose requests are
// late. At 1, the requests of an organisation count twice if all of them are late. Larger
// factors distort the load forecast of a model: with 4, service was worse when demand moved
// between models, also for the worst served organisation.
const lateDemandFactor = 1

// maxTrackedQuality bounds the organisations for which an instance keeps a serviceQuality.
const maxTrackedQuality = 4096

// serviceQuality describes how an organisation's recent requests were served.
type serviceQuality struct {
	// lateShare is the moving average of the share of requests that were refused or waited
	// longer than queueTimeTarget.
	lateShare float64
}

// Demand counts the requests for one model on this instance since its start.
type Demand struct {
	Model        galenastair.ModelName
	Requests     int64
	Refused      int64
	PromptTokens galenastair.Tokens
	// MaxOutputTokens sums the output limits of the requests, OutputTokens the tokens that
	// were produced.
	MaxOutputTokens galenastair.Tokens
	OutputTokens    galenastair.Tokens
	// Work sums prompt tokens and permitted output tokens, weighted more for organisations
	// whose requests are late. Placement uses it, so that models of the worst served
	// organisations are loaded first.
	Work float64
}

// promptTokenWork is the work of a prompt token relative to an output token. An engine
// processes about ten prompt tokens in the time in which a batch produces one output token.
const promptTokenWork = 0.1

func (s *Scheduler) recordDemand(m *modelState, r Request) {
	d := &m.demand
	d.Model = r.Model
	d.Requests++
	d.PromptTokens += r.PromptTokens
	d.MaxOutputTokens += r.OutputTokens
	work := promptTokenWork*float64(r.PromptTokens) + float64(r.OutputTokens)
	if q := s.quality[r.Organisation]; q != nil {
		work *= 1 + lateDemandFactor*q.lateShare
	}
	d.Work += work
}

func (s *Scheduler) recordQuality(t *Ticket, good bool) {
	q := s.quality[t.Request.Organisation]
	if q == nil {
		if len(s.quality) >= maxTrackedQuality {
			clear(s.quality)
		}
		q = &serviceQuality{}
		s.quality[t.Request.Organisation] = q
	}
	sample := 1.0
	if good {
		sample = 0
	}
	q.lateShare += (sample - q.lateShare) / qualityWindow
}

// Demand returns the demand of every model requested so far.
func (s *Scheduler) Demand() []Demand {
	out := make([]Demand, 0, len(s.modelStates))
	for _, m := range s.modelStates {
		out = append(out, m.demand)
	}
	return out
}

// QueueLength returns the number of requests that wait for a backend server.
func (s *Scheduler) QueueLength() int { return len(s.tickets) }
