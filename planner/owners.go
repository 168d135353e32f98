package planner

import (
	"time"

	"galenastair/account"
)

// mostLent is the largest fleet whose quotas one instance lends. In a larger one each
// organisation has an owner: the calls of all would be more than one instance answers, and
// the part of each pays for no request while nobody lends.
const mostLent = 24

// beginOwners begins a term by what the leader before has left.
func (p *Planner) beginOwners() {
	p.assigner.Reset(p.boot(), p.note.Table)
	p.owned = p.note.Version != 0
	p.decided = p.owned || len(p.note.Instances) > 0
}

// decideOwners has a large fleet's quotas kept by owners, if it is large when it is first
// counted. Parts that were dealt are their instances' until all are started again.
func (p *Planner) decideOwners(now time.Time) {
	if p.decided || !p.lender.Counted(now) {
		return
	}
	p.owned = p.lender.Fleet(now) > mostLent
	p.decided = true
}

// addOwners adds to the news who owns what.
func (p *Planner) addOwners(r Report, news *News) {
	now := p.boot()
	p.assigner.Heard(now, r.Address, r.TableVersion, r.Stopping)
	if !p.owned {
		return
	}
	news.Standing.Part, news.Standing.Moderate = 0, nil
	table := p.assigner.Table()
	news.TableVersion = table.Version
	if r.TableVersion != table.Version {
		news.Table = table
	}
	news.Grants = p.assigner.Grants(now, r.Address)
}

// ownersNote is what is to be left on the platform; false while nobody is there to own.
func (p *Planner) ownersNote() (Note, bool) {
	table, ok := p.assigner.Next(p.boot())
	return Note{Table: table}, ok
}

// ownersNoted takes in that a table stands on the platform.
func (p *Planner) ownersNoted(t account.Table) { p.assigner.Noted(p.boot(), t) }
