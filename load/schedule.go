package load

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// arrival is one scheduled request.
type arrival struct {
	at     time.Duration // since the start of the run
	source *Source
	params RequestParams
}

// schedule generates the arrivals of one source; the same seed gives the same arrivals.
type schedule struct {
	source *Source
	even   bool
	rand   *rand.Rand
	nextAt time.Duration
	count  int
}

func newSchedule(c Config, i int) *schedule {
	return &schedule{
		source: &c.Sources[i],
		even:   c.EvenlySpaced,
		rand:   rand.New(rand.NewPCG(c.Seed, uint64(i))),
	}
}

// next returns the next arrival.
func (s *schedule) next() arrival {
	gap := 1.0
	if !s.even {
		gap = s.rand.ExpFloat64()
	}
	s.nextAt += time.Duration(gap / s.source.Rate * float64(time.Second))
	s.count++
	model := s.source.Models[s.rand.IntN(len(s.source.Models))]
	return arrival{
		at:     s.nextAt,
		source: s.source,
		params: RequestParams{
			Model:  model,
			Prompt: s.prompt(string(model)),
			Chat:   s.source.Chat,
			Tokens: s.source.Tokens,
		},
	}
}

// prompt returns a text whose first half is the same for all prompts of a source and
// model, like a prompt template.
func (s *schedule) prompt(model string) string {
	common := string(s.source.Organisation) + " asks " + model + ". "
	unique := strconv.FormatUint(s.rand.Uint64(), 36) + " "
	half := s.source.PromptBytes / 2
	return repeatToLength(common, half) + repeatToLength(unique, s.source.PromptBytes-half)
}

// repeatToLength repeats text up to length bytes. It never truncates the first copy, so
// that the result may be longer.
func repeatToLength(text string, length int) string {
	n := length/len(text) + 1
	return strings.Repeat(text, n)[:max(length, len(text))]
}
