package report

import (
	"cmp"
	"math"
	"slices"

	"galenastair"
)

// maxFullMesh is the maximum number of instances that send to each other without relays.
// The few messages cost less than the delay of a second hop.
const maxFullMesh = 10

// grid has the peers that an instance sends to: the row gets the updates of the engines
// that it polls, the column those of the engines that any instance of its row polls.
type grid struct {
	row      []galenastair.Peer
	column   []galenastair.Peer
	rowCount int
}

// newGrid arranges the members, sorted by ID, in rows whose lengths differ by at most
// one. A shorter row has no member in the last column; one of its other members sends
// to that column as well.
func newGrid(members []galenastair.Peer, self galenastair.InstanceID) grid {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b galenastair.Peer) int { return cmp.Compare(a.ID, b.ID) })
	at := slices.IndexFunc(sorted, func(p galenastair.Peer) bool { return p.ID == self })
	if at < 0 {
		return grid{}
	}
	g := grid{rowCount: 1}
	if len(sorted) > maxFullMesh {
		g.rowCount = int(math.Round(math.Sqrt(float64(len(sorted)))))
	}
	for _, row := range splitRows(sorted, g.rowCount) {
		if at >= 0 && at < len(row) {
			g.row = slices.Delete(slices.Clone(row), at, at+1)
			g.addColumn(splitRows(sorted, g.rowCount), row, at)
		}
		at -= len(row)
	}
	return g
}

// addColumn adds the members in the same column of the other rows.
func (g *grid) addColumn(all [][]galenastair.Peer, own []galenastair.Peer, at int) {
	for _, row := range all {
		for column, p := range row {
			if row[0] != own[0] && column%len(own) == at {
				g.column = append(g.column, p)
			}
		}
	}
}

// splitRows splits members into rows whose lengths differ by at most one.
func splitRows(members []galenastair.Peer, count int) [][]galenastair.Peer {
	out := make([][]galenastair.Peer, count)
	for i := range out {
		out[i] = members[i*len(members)/count : (i+1)*len(members)/count]
	}
	return out
}

func (g grid) inRow(id galenastair.InstanceID) bool {
	return slices.ContainsFunc(g.row, func(p galenastair.Peer) bool { return p.ID == id })
}
