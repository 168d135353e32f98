package planner

import (
	"time"

	"galenastair/account"
)

// maxLendingFleet is the largest fleet whose quotas one instance lends. In a larger one, each
// organisation has an owner instance: a single instance could not answer all calls, and while
// there is no lender, the fraction of each instance would be too small for any request.
const maxLendingFleet = 24

// resetOwners initialises the owners of a term from the checkpoint of the previous leader.
func (p *Planner) resetOwners() {
	p.assigner.Reset(p.bootClock(), p.inherited.Table)
	p.hasOwners = p.inherited.Version != 0
	p.ownersDecided = p.hasOwners || len(p.inherited.Instances) > 0
}

// decideOwners assigns quotas to owners if the fleet is large when it is first counted. Fractions
// that have been allocated remain valid until all instances restart.
func (p *Planner) decideOwners(now time.Time) {
	if p.ownersDecided || !p.lender.FleetCounted(now) {
		return
	}
	p.hasOwners = p.lender.FleetSize(now) > maxLendingFleet
	p.ownersDecided = true
}

// addOwners adds the owner table and the instance's grants to the update.
func (p *Planner) addOwners(r Report, update *Update) {
	now := p.bootClock()
	p.assigner.RecordReport(now, r.Address, r.TableVersion, r.Stopping)
	if !p.hasOwners {
		return
	}
	update.QuotaAllocation.Fraction, update.QuotaAllocation.LowUsage = 0, nil
	table := p.assigner.Table()
	update.TableVersion = table.Version
	if r.TableVersion != table.Version {
		update.Table = table
	}
	update.Grants = p.assigner.Grants(now, r.Address)
}

// ownersCheckpoint returns the owner table to store, or false while no instance can own quotas.
func (p *Planner) ownersCheckpoint() (Checkpoint, bool) {
	table, ok := p.assigner.NextTable(p.bootClock())
	return Checkpoint{Table: table}, ok
}

// ownersStored records that the platform has stored a table.
func (p *Planner) ownersStored(t account.Table) { p.assigner.TableStored(p.bootClock(), t) }
