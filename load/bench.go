package load

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"galenastair"
)

// BenchConfig configures a comparison of one engine, called directly and through one
// entry.
type BenchConfig struct {
	// Engine and Entry are addresses. EnginePID and EntryPID are process ids on this
	// machine, used to read processor time and memory; zero skips a process.
	Engine    string
	Entry     string
	EnginePID int
	EntryPID  int
	Key       string
	Model     galenastair.ModelName
	// Rates are the request rates per second, run one after the other with requests
	// for Tokens tokens each.
	Rates    []float64
	Duration time.Duration
	Tokens   int
	// Streams is the number of streams opened within StreamRamp. StreamTokens is the
	// length of each, and must be large enough that all are open at the same time.
	Streams      int
	StreamRamp   time.Duration
	StreamTokens int
	// StreamSlowdown is passed to SetSlowdown while the streams run, so that their
	// tokens arrive at the rate of a real model and not at that of short requests.
	StreamSlowdown float64
	SetSlowdown    func(context.Context, float64) error
	Seed           uint64
	ExpectedText   func(RequestParams) string
}

// BenchRow is the result of one load on one target.
type BenchRow struct {
	Name               string
	ThroughEntry       bool `json:"Through"`
	Rate               float64
	CompletedPerSecond float64 `json:"WholePerSecond"`
	Requests           int
	Completed          int `json:"Whole"`
	FirstToken         Quantiles
	BetweenTokens      Quantiles
	// EntryCPU and EngineCPU are the processor time per request.
	EntryCPU  time.Duration
	EngineCPU time.Duration
	// EntryPeakMemory is the peak resident memory of the entry since its start.
	EntryPeakMemory galenastair.Bytes `json:"EntryPeak"`
}

// Bench runs the streams and then each of the rates, directly and through the entry.
func Bench(ctx context.Context, c BenchConfig) ([]BenchRow, error) {
	rows, err := c.runStreams(ctx)
	if err != nil {
		return rows, err
	}
	for _, rate := range c.Rates {
		for _, through := range []bool{false, true} {
			row, err := c.runLoad(ctx, fmt.Sprintf("%.0f requests/s", rate), through, rate, 0, c.Tokens)
			if err != nil {
				return rows, err
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// runStreams runs the streams, directly and through the entry.
func (c BenchConfig) runStreams(ctx context.Context) ([]BenchRow, error) {
	if c.Streams == 0 {
		return nil, nil
	}
	if err := c.SetSlowdown(ctx, c.StreamSlowdown); err != nil {
		return nil, err
	}
	var rows []BenchRow
	for _, through := range []bool{false, true} {
		row, err := c.runLoad(ctx, fmt.Sprintf("%d streams", c.Streams), through, float64(c.Streams)/c.StreamRamp.Seconds(), c.Streams, c.StreamTokens)
		if err != nil {
			return rows, err
		}
		rows = append(rows, row)
	}
	return rows, c.SetSlowdown(ctx, 1)
}

func (c BenchConfig) runLoad(ctx context.Context, name string, through bool, rate float64, count, tokens int) (BenchRow, error) {
	target, key := c.Engine, ""
	if through {
		target, key = c.Entry, c.Key
	}
	entry, engine, err := c.processUsages()
	if err != nil {
		return BenchRow{}, err
	}
	r, err := Run(ctx, Config{
		Targets:      []string{target},
		Duration:     c.Duration,
		MaxRequests:  count,
		Seed:         c.Seed,
		ExpectedText: c.ExpectedText,
		Sources: []Source{{
			Organisation: "bench",
			Key:          key,
			Models:       []galenastair.ModelName{c.Model},
			Rate:         rate,
			PromptBytes:  200,
			Tokens:       tokens,
			Chat:         true,
			Stream:       true,
		}},
	})
	if err != nil {
		return BenchRow{}, err
	}
	entryAfter, engineAfter, err := c.processUsages()
	if err != nil {
		return BenchRow{}, err
	}
	requests := time.Duration(max(r.All.Requests, 1))
	return BenchRow{
		Name:               name,
		ThroughEntry:       through,
		Rate:               rate,
		CompletedPerSecond: r.CompletedPerSecond,
		Requests:           r.All.Requests,
		Completed:          r.All.Completed(),
		FirstToken:         r.All.FirstToken,
		BetweenTokens:      r.All.BetweenTokens,
		EntryCPU:           (entryAfter.cpu - entry.cpu) / requests,
		EngineCPU:          (engineAfter.cpu - engine.cpu) / requests,
		EntryPeakMemory:    entryAfter.peakMemory,
	}, nil
}

func (c BenchConfig) processUsages() (entry, engine usage, err error) {
	entry, err = processUsage(c.EntryPID)
	if err != nil {
		return entry, engine, err
	}
	engine, err = processUsage(c.EnginePID)
	return entry, engine, err
}

// WriteBench writes rows as a table.
func WriteBench(w io.Writer, rows []BenchRow) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "load\tpath\trequests\twhole\twhole/s\tfirst p50\tfirst p99\tbetween p50\tbetween p99\tentry CPU\tengine CPU\tentry peak")
	for _, r := range rows {
		path := "direct"
		if r.ThroughEntry {
			path = "entry"
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.0f\t%v\t%v\t%v\t%v\t%v\t%v\t%.1f MB\n",
			r.Name, path, r.Requests, r.Completed, r.CompletedPerSecond,
			roundDuration(r.FirstToken.P50), roundDuration(r.FirstToken.P99),
			roundDuration(r.BetweenTokens.P50), roundDuration(r.BetweenTokens.P99),
			r.EntryCPU.Round(time.Microsecond), r.EngineCPU.Round(time.Microsecond),
			float64(r.EntryPeakMemory)/1e6)
	}
	return t.Flush()
}
