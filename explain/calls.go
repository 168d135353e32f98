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

// callsEvent is the line in which an instance counts its calls to the store.
const callsEvent = "store calls"

// callsPeriod is by what time calls are grouped; instances log them as often.
const callsPeriod = 10 * time.Second

// mostCallers is how many instances are named.
const mostCallers = 10

// Calls is what the instances have asked the platform's store.
type Calls struct {
	// ByCall counts by call, topic and outcome, with slashes between.
	ByCall     map[string]int
	ByInstance map[string]int
	When       map[time.Time]int
}

// CountCalls adds up what the instances logged of their calls.
func CountCalls(lines []Line) Calls {
	c := Calls{ByCall: map[string]int{}, ByInstance: map[string]int{}, When: map[time.Time]int{}}
	for _, l := range lines {
		if l.Event == callsEvent {
			c.add(l)
		}
	}
	return c
}

func (c Calls) add(l Line) {
	for _, f := range l.Fields {
		n, err := strconv.Atoi(f.Value)
		if err != nil || !strings.Contains(f.Name, "/") {
			continue
		}
		c.ByCall[f.Name] += n
		c.ByInstance[l.Instance] += n
		c.When[l.At.Truncate(callsPeriod)] += n
	}
}

// WriteText writes a table of the calls, the most frequent first, when they were logged, and
// the instances that made the most.
func (c Calls) WriteText(w io.Writer) error {
	var b strings.Builder
	for _, name := range mostFirst(c.ByCall) {
		fmt.Fprintf(&b, "%7d  %s\n", c.ByCall[name], name)
	}
	fmt.Fprintf(&b, "when: %s\n", timeline(c.When))
	callers := mostFirst(c.ByInstance)
	fmt.Fprintf(&b, "%d instances; most by:", len(callers))
	for _, name := range callers[:min(mostCallers, len(callers))] {
		fmt.Fprintf(&b, " %s %d", name, c.ByInstance[name])
	}
	b.WriteByte('\n')
	_, err := io.WriteString(w, b.String())
	return err
}

func mostFirst(counts map[string]int) []string {
	return slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(counts[b]-counts[a], cmp.Compare(a, b))
	})
}
