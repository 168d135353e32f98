package measure

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
)

// shortScenario returns a scenario shortened to 40 s, to limit the duration of CI runs.
func shortScenario(name string) scenario {
	for _, sc := range scenarios() {
		if sc.name == name {
			sc.duration = 40 * time.Second
			return sc
		}
	}
	return scenario{}
}

func runScenario(sc scenario, p policy) result {
	r := result{site: sites[0], scenario: sc, policy: p}
	r.run(newFleet(sites[0], sc, p, 5))
	return r
}

// The same seed must print the same figures, or tables from before and after a change
// cannot be compared. Fails if the schedulers' random numbers are seeded by the clock.
func TestSameSeedSameFigures(t *testing.T) {
	is := is.New(t)
	sc := shortScenario("saturation")
	var first, second bytes.Buffer
	a, b := runScenario(sc, policies()[0]), runScenario(sc, policies()[0])
	is.NoErr(printTable(&first, 5, []*result{&a}))
	is.NoErr(printTable(&second, 5, []*result{&b}))
	is.Equal(first.String(), second.String())
}

// An organisation that sends five times its rate must not degrade the service of those
// within their rate: with a first-come queue they miss most of their goals, with ours
// few. Fails if the fair queue treats all requests as one flow.
func TestFloodTakesLittleFromOthers(t *testing.T) {
	is := is.New(t)
	sc := shortScenario("five times its rate")
	ours, first := runScenario(sc, policies()[0]), runScenario(sc, policies()[1])
	is.True(ours.attainment > 0.7)
	is.True(ours.worstAttainment > 0.6)
	is.True(first.attainment < 0.5)
}
