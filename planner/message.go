package planner

import (
	"time"

	"galenastair"
	"galenastair/account"
	"galenastair/claim"
	"galenastair/lease"
	"galenastair/pool"
	"galenastair/quota"
	"galenastair/ratelimit"
	"galenastair/registry"
)

// Report is what one instance tells the planner.
type Report struct {
	Instance galenastair.InstanceID
	// Address is its peer address, TableVersion that of the owners that it goes by, and
	// Stopping says that it is about to end.
	Address      string
	Zone         galenastair.AvailabilityZone
	TableVersion int64
	Stopping     bool
	// Loads is what its requests put on each backend server now.
	Loads map[galenastair.BackendServerID]pool.Load
	// Demands is the engine time asked of each model and adapter since the last report.
	Demands map[galenastair.ModelName]time.Duration
	Asks    []quota.Ask
	// Passed is what it leaves to the lender.
	Passed quota.Passed
	// Positions are how far it has read the store's topics.
	Positions map[galenastair.Topic]galenastair.Offset
	// Poisons are requests that stopped a backend server since the last report.
	Poisons []claim.Digest
	// Absent are backend servers at whose addresses nothing listened a moment ago.
	Absent []galenastair.BackendServerID
	// Seen is the number of the newest change of placement that it was told by this planner.
	Seen int64
	// Limits are what backend servers have named in answers to the instance.
	Limits []ratelimit.Limit
}

// News is what the planner answers.
type News struct {
	// Lapsed says that the instance that answers lends and tells on, but may hold the lease
	// no more.
	Lapsed bool
	// Renewal is the newest renewal of the answering instance's lease.
	Renewal lease.Renewal
	// Standing is its place among the instances, as the lender counts them.
	Standing quota.Standing
	// Loads is what all other instances' requests put on each backend server.
	Loads map[pool.ServerKey]pool.Load
	Loans []quota.Ask
	// TableVersion is that of the owners in force, and Table names them if the instance goes
	// by others. Grants are what it owns itself.
	TableVersion int64
	Table        account.Table
	Grants       []account.Grant
	// Placed says what backend servers hold since a moment ago, Dropped what they no
	// longer hold or are about to give up.
	Placed  []Placement
	Dropped []Placement
	// Newest numbers the newest of these changes.
	Newest  int64
	Poisons []claim.Digest
	// Tails are what the planner has read of the store's topics beyond the instance's
	// positions.
	Tails []Tail
	// Limits are what backend servers have named in answers to any instance.
	Limits []ratelimit.Limit
	// Index is the instance's place in the fleet, from 0.
	Index int
}

// Tail is the end of one topic.
type Tail struct {
	Topic galenastair.Topic
	galenastair.KeyedBatch
	// Age is how long ago the store confirmed the end, and FromAge how long ago it confirmed
	// the position that the reader reported to be the end; 0 if that is not known.
	Age     time.Duration
	FromAge time.Duration
	// Changes are told in place of records, where Changed says so.
	Changes []registry.Change
	Changed bool
	// Peer is an instance that has the records which the others lack, and Wait says that one
	// will have them soon.
	Peer string
	Wait bool
}

// Placement is a model or adapter on a backend server.
type Placement struct {
	Server galenastair.BackendServerID
	Name   galenastair.ModelName
}

// Promise says where a model or adapter will be ready, and when.
type Promise struct {
	Server galenastair.BackendServerID
	// Ready is the time from now; Server is empty if nothing can be promised, and Ready then
	// when it is worth to ask again, if that is known.
	Ready time.Duration
}
