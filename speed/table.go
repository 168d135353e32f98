package speed

// maxTableSize bounds the factors that an instance keeps. Processes that have ended leave theirs
// behind.
const maxTableSize = 8192

// Table holds the factors that an instance has received.
type Table struct{ factors map[Key]Ratio }

// NewTable returns a table in which all factors are 1.
func NewTable() *Table { return &Table{map[Key]Ratio{}} }

// Apply adds the factors of an update. Those that are not in it stay, since a new leader may not know
// all servers yet.
func (t *Table) Apply(u Update) {
	if len(t.factors)+len(u.Factors) > maxTableSize {
		clear(t.factors)
	}
	for _, f := range u.Factors {
		if f.Ratio == 1 {
			delete(t.factors, f.Server)
		} else if f.Ratio > 0 {
			t.factors[f.Server] = f.Ratio
		}
	}
}

// Factor returns the factor of a process, 1 if none is known.
func (t *Table) Factor(k Key) Ratio {
	if r, ok := t.factors[k]; ok {
		return r
	}
	return 1
}

// Factors returns all factors other than 1.
func (t *Table) Factors() []Factor {
	out := make([]Factor, 0, len(t.factors))
	for k, r := range t.factors {
		out = append(out, Factor{k, r})
	}
	return out
}

// Len returns the number of factors other than 1.
func (t *Table) Len() int { return len(t.factors) }
