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

// A small fleet whose instances hold parts of the quotas grows, and owners grant the whole
// beside the parts.
func TestPartsAreNotFollowedByOwners(t *testing.T) {
	is := is.New(t)
	p := New("me", quota.Terms{Window: 8 * time.Second}, nil, nil, control.NewLoop())
	now := time.Unix(1000, 0)
	p.lender.Reset(now, quota.Note{})
	p.beginOwners()
	heard := func(from, to int) {
		for i := from; i < to; i++ {
			p.decideOwners(now)
			p.lender.Heard(now, galenastair.InstanceID(fmt.Sprint("i", i)), quota.Passed{})
		}
	}
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		heard(0, 7)
	}
	is.True(!p.owned)
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		heard(0, 40)
	}
	is.True(!p.owned)
}

// A large fleet that starts for the first time goes by parts that pay for nothing.
func TestLargeFleetHasOwners(t *testing.T) {
	is := is.New(t)
	p := New("me", quota.Terms{Window: 8 * time.Second}, nil, nil, control.NewLoop())
	now := time.Unix(1000, 0)
	p.lender.Reset(now, quota.Note{})
	p.beginOwners()
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		for i := range 30 {
			p.decideOwners(now)
			if !p.owned {
				p.lender.Heard(now, galenastair.InstanceID(fmt.Sprint("i", i)), quota.Passed{})
			}
		}
	}
	is.True(p.owned)
}
