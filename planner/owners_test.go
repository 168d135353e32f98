package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/control"
	"galenastair/quota"
)

// The instances of a fleet that is small at first hold fractions of the quotas. If owners took over
// when it grows, they would grant the whole quota in addition to the fractions.
func TestSmallFleetThatGrowsKeepsFractions(t *testing.T) {
	is := is.New(t)
	p := New("me", quota.Tolerance{Window: 8 * time.Second}, nil, nil, control.NewLoop())
	now := time.Unix(1000, 0)
	p.lender.Reset(now, quota.Checkpoint{})
	p.resetOwners()
	report := func(from, to int) {
		for i := from; i < to; i++ {
			p.decideOwners(now)
			p.lender.Contribute(now, galenastair.InstanceID(fmt.Sprint("i", i)), quota.Contribution{})
		}
	}
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		report(0, 7)
	}
	is.True(!p.hasOwners)
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		report(0, 40)
	}
	is.True(!p.hasOwners)
}

// A large fleet without stored state uses owners, because each instance's fraction of the quotas
// would be too small for any request.
func TestLargeFleetHasOwners(t *testing.T) {
	is := is.New(t)
	p := New("me", quota.Tolerance{Window: 8 * time.Second}, nil, nil, control.NewLoop())
	now := time.Unix(1000, 0)
	p.lender.Reset(now, quota.Checkpoint{})
	p.resetOwners()
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		for i := range 30 {
			p.decideOwners(now)
			if !p.hasOwners {
				p.lender.Contribute(now, galenastair.InstanceID(fmt.Sprint("i", i)), quota.Contribution{})
			}
		}
	}
	is.True(p.hasOwners)
}
