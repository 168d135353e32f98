package account_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair/account/play"
)

var contract = play.Contract{Rate: 33_000, Burst: 33_000}

// An organisation floods many instances while owners and leaders are cut off, killed and
// started again, and gets more than its contract. FLOODS sets how many seeds are played.
func TestNoWindowIsOverTheContract(t *testing.T) {
	floods := uint64(300)
	if s := os.Getenv("FLOODS"); s != "" {
		floods, _ = strconv.ParseUint(s, 10, 64)
	}
	for seed := range floods {
		f := play.New(seed, 40, contract)
		f.Settle()
		for range 3000 {
			f.Step()
			x := f.Any()
			if owner := f.Owner(x); owner != nil && f.Rand.IntN(2) == 0 {
				x = owner
			}
			disturb(f, x)
			for range 3 {
				f.Charge(f.Any(), 1000+3000*f.Rand.Float64())
			}
			// callers of the one that is cut off go on there
			for range 2 {
				f.Charge(x, 3000)
			}
		}
		if got, most := f.Most(), contract.Bound(); got > most {
			t.Fatalf("seed %d: %.0f in a window, at most %.0f", seed, got, most)
		}
	}
}

func disturb(f *play.Fleet, x *play.Instance) {
	switch f.Rand.IntN(150) {
	case 0:
		f.Cut(x, f.UpTo(9*time.Second))
	case 1:
		f.Restart(x, f.UpTo(3*time.Second))
	case 2:
		f.ReplaceLeader()
	case 3, 4:
		f.Stop(x)
	}
}

// outcome plays a scenario at 300 instances.
func outcome(t *testing.T, name string) play.Outcome {
	t.Helper()
	for _, s := range play.Scenarios() {
		if s.Name == name {
			o := play.Play(s, 1, 300, contract)
			t.Logf("%s: %+v", name, o)
			return o
		}
	}
	t.Fatal("no such scenario: " + name)
	return play.Outcome{}
}

// Requests of an organisation that uses half of its rate are refused at hundreds of instances,
// of which each has a part that pays for none.
func TestSteadyDemandIsAdmitted(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"steady", "skewed"} {
		is.True(outcome(t, name).Admitted >= 0.97)
	}
}

// The leader is lost, and with it the quotas of all organisations.
func TestLossOfTheLeaderCostsNothing(t *testing.T) {
	is := is.New(t)
	is.True(outcome(t, "leader lost").Around >= 0.9)
}

// An organisation's owner, or half of all instances, are lost for good.
func TestLossOfOwnersCostsSeconds(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"owner lost", "owner cut off", "half lost"} {
		is.True(outcome(t, name).Admitted >= 0.75)
	}
}

// All processes are killed at once, and quotas are not kept again within some seconds.
func TestRestartOfAll(t *testing.T) {
	is := is.New(t)
	is.True(outcome(t, "all restarted").Admitted >= 0.5)
}
