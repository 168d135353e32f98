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
	"galenastair/speed"
	"galenastair/stream"
)

// Report is what an instance sends to the planner in each exchange.
type Report struct {
	Instance galenastair.InstanceID
	// Address is the instance's peer address. TableVersion is the version of the owner table that
	// it uses. Stopping is set when it is about to exit.
	Address      string
	Zone         galenastair.AvailabilityZone
	TableVersion int64
	Stopping     bool
	// Loads is the load of the instance's requests on each backend server.
	Loads map[galenastair.BackendServerID]pool.Load
	// Demands is the engine time requested of each model and adapter since the last report.
	Demands      map[galenastair.ModelName]time.Duration
	LoanRequests []quota.LoanRequest
	// QuotaContribution is what the instance leaves to the lender of its fraction of the quotas.
	QuotaContribution quota.Contribution
	// Positions are the offsets up to which it has read the topics of the store.
	Positions map[galenastair.Topic]galenastair.Offset
	// Crashes are those that the instance has recorded since the last report. The first report to
	// a leader also has those of all requests that the instance refuses.
	Crashes []claim.Crash
	// PartEvents are the same for parts of prompts.
	PartEvents []claim.PartEvent
	// Down lists backend servers that have just refused a connection, or have announced in an answer
	// that they are leaving.
	Down []galenastair.BackendServerID
	// LastChange is the number of the newest placement change or crash received from this planner.
	LastChange int64
	// Limits are the rate limits that backend servers advertised in answers to this instance.
	Limits []ratelimit.Limit
	// Brittle are the services whose servers have told this instance that they are brittle.
	Brittle []pool.BrittleService
	// PartitionedFrom are the services from all of whose servers the instance is partitioned.
	PartitionedFrom []galenastair.ServiceName
	// SpeedObservations are those since the last report. LastSpeed is the number of the newest speed
	// factor received from this planner.
	SpeedObservations []speed.Observation
	LastSpeed         speed.Sequence
	// VersionDigest is the digest of the list of software versions that the instance knows.
	VersionDigest stream.VersionDigest
}

// Update is the planner's reply to a Report.
type Update struct {
	// LeaseExpired is set if the answering instance may no longer hold the lease. It still lends
	// quota and passes on what others report.
	LeaseExpired bool
	// Renewal is the latest renewal of the answering instance's lease.
	Renewal lease.Renewal
	// QuotaAllocation is the fleet size and the instance's fraction of the quotas, as the lender
	// counts them.
	QuotaAllocation quota.Allocation
	// Loads is the load of all other instances' requests on each backend server.
	Loads map[pool.ServerKey]pool.Load
	Loans []quota.LoanRequest
	// TableVersion is the version of the owner table in force. Table is set if the instance uses
	// another version. Grants are the shards that the instance owns.
	TableVersion int64
	Table        account.Table
	Grants       []account.Grant
	// Added lists models and adapters that have recently been loaded. Removed lists those that
	// have been unloaded or are about to be.
	Added   []Placement
	Removed []Placement
	// Crashes are those that the other instances have reported. An instance that has missed some
	// also gets those of all requests that the leader refuses.
	Crashes []claim.Crash
	// PartEvents are the same for parts of prompts.
	PartEvents []claim.PartEvent
	// LastChange is the number of the newest of these changes and crashes.
	LastChange int64
	// Tails are the records of the store's topics that the planner has read beyond the instance's
	// positions.
	Tails []Tail
	// Limits are the rate limits that backend servers advertised to any instance.
	Limits []ratelimit.Limit
	// Brittle are the services whose servers have told any instance that they are brittle.
	Brittle []pool.BrittleService
	// Index is the instance's index in the fleet, from 0.
	Index int
	// ForwardTo are the peer addresses of instances that reach the services from which the reporting
	// one is partitioned.
	ForwardTo map[galenastair.ServiceName][]string
	// StreamRecorders are the peer addresses of the instances that keep where streams began.
	StreamRecorders []string
	// OtherRecorders are those of other regions, while a service has several software versions.
	OtherRecorders []string
	// Speeds are the speed factors of backend servers that have changed.
	Speeds speed.Update
	// VersionDigest is the digest of the list of software versions, and Versions is the list if the
	// instance knows another.
	VersionDigest stream.VersionDigest
	Versions      stream.VersionList
}

// Tail holds the latest records of one topic.
type Tail struct {
	Topic galenastair.Topic
	galenastair.KeyedBatch
	// Age is how long ago the store confirmed the end of the topic. FromAge is how long ago it
	// confirmed the reader's position as the end, or 0 if unknown.
	Age     time.Duration
	FromAge time.Duration
	// Changes replaces the records if Changed is set.
	Changes []registry.Change
	Changed bool
	// Peer is the address of an instance that has the missing records. Wait is set if an instance
	// will have them soon.
	Peer string
	Wait bool
}

// Placement is a model or adapter on a backend server.
type Placement struct {
	Server galenastair.BackendServerID
	Name   galenastair.ModelName
}

// Availability is where and when a model or adapter will be ready.
type Availability struct {
	Server galenastair.BackendServerID
	// ReadyIn is the time until then. If Server is empty, it is not known where a copy will be,
	// and ReadyIn is the time after which to ask again, or 0 if that is not known either.
	ReadyIn time.Duration
}
