package load

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// arrival is one request that is due.
type arrival struct {
	at       time.Duration
	source   *Source
	question Question
}

// schedule gives the arrivals of one source, the same from the same seed.
type schedule struct {
	source *Source
	even   bool
	rand   *rand.Rand
	next   time.Duration
	count  int
}

func newSchedule(c Config, i int) *schedule {
	return &schedule{
		source: &c.Sources[i],
		even:   c.Even,
		rand:   rand.New(rand.NewPCG(c.Seed, uint64(i))),
	}
}

// take returns the next arrival.
func (s *schedule) take() arrival {
	gap := 1.0
	if !s.even {
		gap = s.rand.ExpFloat64()
	}
	s.next += time.Duration(gap / s.source.Rate * float64(time.Second))
	s.count++
	model := s.source.Models[s.rand.IntN(len(s.source.Models))]
	return arrival{
		at:     s.next,
		source: s.source,
		question: Question{
			Model:  model,
			Prompt: s.prompt(string(model)),
			Chat:   s.source.Chat,
			Tokens: s.source.Tokens,
		},
	}
}

// prompt returns a text whose first half is common to a source and model, as templates are.
func (s *schedule) prompt(model string) string {
	common := string(s.source.Organisation) + " asks " + model + ". "
	own := strconv.FormatUint(s.rand.Uint64(), 36) + " "
	half := s.source.PromptBytes / 2
	return fill(common, half) + fill(own, s.source.PromptBytes-half)
}

// fill repeats a text to a length, but keeps it whole once.
func fill(text string, length int) string {
	n := length/len(text) + 1
	return strings.Repeat(text, n)[:max(length, len(text))]
}
