package report

import (
	"cmp"
	"math"
	"slices"

	"galenastair"
)

// directly is up to how many instances tell each other without relays: so few
// messages cost less than the age that a second hop adds.
const directly = 10

// grid is whom one instance tells: its row gets what it reads itself, its column
// what all of its row read.
type grid struct {
	row    []galenastair.Peer
	column []galenastair.Peer
	// width is the number of rows.
	width int
}

// newGrid puts the members into rows of nearly the same length, in the order of
// their ids. A short row has no member in the last column; one of its others
// tells that column too.
func newGrid(members []galenastair.Peer, self galenastair.InstanceID) grid {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b galenastair.Peer) int { return cmp.Compare(a.ID, b.ID) })
	at := slices.IndexFunc(sorted, func(p galenastair.Peer) bool { return p.ID == self })
	if at < 0 {
		return grid{}
	}
	g := grid{width: 1}
	if len(sorted) > directly {
		g.width = int(math.Round(math.Sqrt(float64(len(sorted)))))
	}
	for _, row := range rows(sorted, g.width) {
		if at >= 0 && at < len(row) {
			g.row = slices.Delete(slices.Clone(row), at, at+1)
			g.fillColumn(rows(sorted, g.width), row, at)
		}
		at -= len(row)
	}
	return g
}

// fillColumn adds those that stand in the same column of other rows.
func (g *grid) fillColumn(all [][]galenastair.Peer, own []galenastair.Peer, at int) {
	for _, row := range all {
		for column, p := range row {
			if row[0] != own[0] && column%len(own) == at {
				g.column = append(g.column, p)
			}
		}
	}
}

// rows splits members into rows whose lengths differ by one at most.
func rows(members []galenastair.Peer, count int) [][]galenastair.Peer {
	out := make([][]galenastair.Peer, count)
	for i := range out {
		out[i] = members[i*len(members)/count : (i+1)*len(members)/count]
	}
	return out
}

func (g grid) inRow(id galenastair.InstanceID) bool {
	return slices.ContainsFunc(g.row, func(p galenastair.Peer) bool { return p.ID == id })
}
