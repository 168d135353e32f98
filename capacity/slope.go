package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"

	"galenastair"
)

// Size is a fleet to reckon for.
type Size struct {
	Name          string
	Entries       int
	Engines       int
	Organisations int
	ChangesPerDay float64
}

// Today and Region are the users' present size and one region of their target:
// 370 nodes before 1,900 replicas in 7 regions; the changes are those of all.
var (
	Today  = Size{"today", 9, 9, 5, 100}
	Region = Size{"one region of the target", 53, 270, 2000, 4500}
)

// Budget is what control may cost a node at the target.
var Budget = Cost{BytesPerSecond: 6 << 10, Processor: 0.03, Memory: 64 << 20}

// axis is one variable of a fleet's size, and how to read it.
type axis struct {
	name string
	of   func(Row) float64
	in   func(Size) float64
}

var axes = []axis{
	{"entry instance", func(r Row) float64 { return float64(r.Entries) }, func(s Size) float64 { return float64(s.Entries) }},
	{"engine", func(r Row) float64 { return float64(r.Engines) }, func(s Size) float64 { return float64(s.Engines) }},
	{"organisation", func(r Row) float64 { return float64(r.Organisations) }, func(s Size) float64 { return float64(s.Organisations) }},
	{"change a day", func(r Row) float64 { return r.ChangesPerDay }, func(s Size) float64 { return s.ChangesPerDay }},
}

// Slope is what one more of something costs a node.
type Slope struct {
	Axis string
	Cost Cost
	// Rows is how many sizes it was worked out from.
	Rows int
}

// vary returns the rows that differ from the base in one axis alone, and the base.
func vary(rows []Row, base Row, a axis) []Row {
	var out []Row
	for _, r := range rows {
		same := true
		for _, other := range axes {
			if other.name != a.name && other.of(r) != other.of(base) {
				same = false
			}
		}
		if same {
			out = append(out, r)
		}
	}
	return out
}

// Slopes fits a line through the rows along each axis. The first row is the base
// that the others differ from in one axis each.
func Slopes(rows []Row) []Slope {
	if len(rows) == 0 {
		return nil
	}
	var out []Slope
	for _, a := range axes {
		along := vary(rows, rows[0], a)
		x := make([]float64, len(along))
		for i, r := range along {
			x[i] = a.of(r)
		}
		slope := func(y func(Row) float64) float64 { return fit(x, along, y) }
		out = append(out, Slope{a.name, Cost{
			BytesPerSecond: slope(func(r Row) float64 { return r.Cost.BytesPerSecond }),
			Processor:      slope(func(r Row) float64 { return r.Cost.Processor }),
			Memory:         galenastair.Bytes(slope(func(r Row) float64 { return float64(r.Cost.Memory) })),
		}, len(along)})
	}
	return out
}

// fit returns the slope of the line of least squares.
func fit(x []float64, rows []Row, y func(Row) float64) float64 {
	var meanX, meanY float64
	for i, r := range rows {
		meanX += x[i] / float64(len(rows))
		meanY += y(r) / float64(len(rows))
	}
	var over, under float64
	for i, r := range rows {
		over += (x[i] - meanX) * (y(r) - meanY)
		under += (x[i] - meanX) * (x[i] - meanX)
	}
	if under == 0 {
		return 0
	}
	return over / under
}

// Reckon adds the slopes to the base row.
func Reckon(base Row, slopes []Slope, s Size) Cost {
	c := base.Cost
	for i, a := range axes {
		more := a.in(s) - a.of(base)
		c.BytesPerSecond += more * slopes[i].Cost.BytesPerSecond
		c.Processor += more * slopes[i].Cost.Processor
		c.Memory += galenastair.Bytes(more * float64(slopes[i].Cost.Memory))
	}
	return c
}

const kib = 1 << 10

// Table writes the rows, the slopes and what they give for today and the target.
func Table(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "entries\tengines\torganisations\tchanges/day\tKB/s\tpeers\tplatform\tengines\tworst KB/s\tcore\tMB\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%d\t%d\t%d\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f%%\t%.1f\t\n", r.Entries, r.Engines, r.Organisations, r.ChangesPerDay,
			r.Cost.BytesPerSecond/kib, r.Peer/kib, r.Platform/kib, r.Engine/kib, r.Worst.BytesPerSecond/kib, 100*r.Cost.Processor, mib(r.Cost.Memory))
	}
	slopes := Slopes(rows)
	fmt.Fprintln(w, "\t\t\t\t\t\t\t\t\t\t\t")
	fmt.Fprintln(w, "one more\tsizes\tbytes/s\tcore %\tKB of memory\t\t\t\t\t\t\t")
	for _, s := range slopes {
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%.5f\t%.2f\t\t\t\t\t\t\t\n", s.Axis, s.Rows, s.Cost.BytesPerSecond, 100*s.Cost.Processor, float64(s.Cost.Memory)/kib)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if len(rows) == 0 {
		return nil
	}
	for _, size := range []Size{Today, Region} {
		c := Reckon(rows[0], slopes, size)
		fmt.Fprintf(out, "reckoned for %s (%d entries, %d engines, %d organisations, %.0f changes a day): %.2f KB/s, %.2f%% of a core, %.1f MB\n",
			size.Name, size.Entries, size.Engines, size.Organisations, size.ChangesPerDay, c.BytesPerSecond/kib, 100*c.Processor, mib(c.Memory))
	}
	fmt.Fprintf(out, "budget: %.2f KB/s, %.2f%% of a core, %.1f MB\n", Budget.BytesPerSecond/kib, 100*Budget.Processor, mib(Budget.Memory))
	return nil
}

func mib(b galenastair.Bytes) float64 { return float64(b) / (1 << 20) }
