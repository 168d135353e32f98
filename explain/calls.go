package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// storeCallsEvent is the event with which an instance logs counts of its calls to the store.
const storeCallsEvent = "store calls"

// storeCallsInterval is the interval by which calls are grouped. It equals the interval at
// which instances log them.
const storeCallsInterval = 10 * time.Second

// maxListedInstances is how many instances WriteText lists.
const maxListedInstances = 10

// StoreCalls counts the calls of the instances to the platform's store.
type StoreCalls struct {
	// ByCall counts by call, topic and outcome, joined with slashes.
	ByCall     map[string]int
	ByInstance map[string]int
	ByTime     map[time.Time]int
}

// CountStoreCalls sums the counts that the instances logged.
func CountStoreCalls(lines []Line) StoreCalls {
	c := StoreCalls{ByCall: map[string]int{}, ByInstance: map[string]int{}, ByTime: map[time.Time]int{}}
	for _, l := range lines {
		if l.Event == storeCallsEvent {
			c.add(l)
		}
	}
	return c
}

func (c StoreCalls) add(l Line) {
	for _, f := range l.Fields {
		n, err := strconv.Atoi(f.Value)
		if err != nil || !strings.Contains(f.Name, "/") {
			continue
		}
		c.ByCall[f.Name] += n
		c.ByInstance[l.Instance] += n
		c.ByTime[l.At.Truncate(storeCallsInterval)] += n
	}
}

// WriteText writes the calls sorted by descending count, the number of calls by time, and the
// instances that made the most calls.
func (c StoreCalls) WriteText(w io.Writer) error {
	var b strings.Builder
	for _, name := range namesByCount(c.ByCall) {
		fmt.Fprintf(&b, "%7d  %s\n", c.ByCall[name], name)
	}
	fmt.Fprintf(&b, "when: %s\n", formatTimeline(c.ByTime))
	instances := namesByCount(c.ByInstance)
	fmt.Fprintf(&b, "%d instances; most by:", len(instances))
	for _, name := range instances[:min(maxListedInstances, len(instances))] {
		fmt.Fprintf(&b, " %s %d", name, c.ByInstance[name])
	}
	b.WriteByte('\n')
	_, err := io.WriteString(w, b.String())
	return err
}

func namesByCount(counts map[string]int) []string {
	return slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(counts[b]-counts[a], cmp.Compare(a, b))
	})
}
