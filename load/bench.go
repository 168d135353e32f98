package load

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"galenastair"
)

// BenchConfig compares one engine directly and through one entry.
type BenchConfig struct {
	// Engine and Entry are addresses; EntryProcess and EngineProcess are process
	// ids on this machine, for processor time and memory.
	Engine        string
	Entry         string
	EngineProcess int
	EntryProcess  int
	Key           string
	Model         galenastair.ModelName
	// Rates are run one after the other with short requests of Tokens each.
	Rates    []float64
	Duration time.Duration
	Tokens   int
	// Streams are opened within StreamRamp, of StreamTokens each: long enough that
	// all are open at once.
	Streams      int
	StreamRamp   time.Duration
	StreamTokens int
	// StreamSlow is told to SetSlow while the streams run, so that their tokens
	// come at the pace of a model and not of short requests.
	StreamSlow float64
	SetSlow    func(context.Context, float64) error
	Seed       uint64
	Want       func(Question) string
}

// BenchRow is one load on one target.
type BenchRow struct {
	Name           string
	Through        bool
	Rate           float64
	WholePerSecond float64
	Requests       int
	Whole          int
	FirstToken     Quantiles
	BetweenTokens  Quantiles
	// EntryCPU and EngineCPU are processor time for each request.
	EntryCPU  time.Duration
	EngineCPU time.Duration
	// EntryPeak is the entry's highest resident memory since its start.
	EntryPeak galenastair.Bytes
}

// Bench runs each load directly and through the entry, the lowest first.
func Bench(ctx context.Context, c BenchConfig) ([]BenchRow, error) {
	rows, err := c.streams(ctx)
	if err != nil {
		return rows, err
	}
	for _, rate := range c.Rates {
		for _, through := range []bool{false, true} {
			row, err := c.run(ctx, fmt.Sprintf("%.0f requests/s", rate), through, rate, 0, c.Tokens)
			if err != nil {
				return rows, err
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// streams opens many streams at once, directly and through the entry.
func (c BenchConfig) streams(ctx context.Context) ([]BenchRow, error) {
	if c.Streams == 0 {
		return nil, nil
	}
	if err := c.SetSlow(ctx, c.StreamSlow); err != nil {
		return nil, err
	}
	var rows []BenchRow
	for _, through := range []bool{false, true} {
		row, err := c.run(ctx, fmt.Sprintf("%d streams", c.Streams), through, float64(c.Streams)/c.StreamRamp.Seconds(), c.Streams, c.StreamTokens)
		if err != nil {
			return rows, err
		}
		rows = append(rows, row)
	}
	return rows, c.SetSlow(ctx, 1)
}

func (c BenchConfig) run(ctx context.Context, name string, through bool, rate float64, count, tokens int) (BenchRow, error) {
	target, key := c.Engine, ""
	if through {
		target, key = c.Entry, c.Key
	}
	entry, engine, err := c.usages()
	if err != nil {
		return BenchRow{}, err
	}
	r, err := Run(ctx, Config{
		Targets:     []string{target},
		Duration:    c.Duration,
		MaxRequests: count,
		Seed:        c.Seed,
		Want:        c.Want,
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
	entryAfter, engineAfter, err := c.usages()
	if err != nil {
		return BenchRow{}, err
	}
	requests := time.Duration(max(r.All.Requests, 1))
	return BenchRow{
		Name:           name,
		Through:        through,
		Rate:           rate,
		WholePerSecond: r.WholePerSecond,
		Requests:       r.All.Requests,
		Whole:          r.All.Whole(),
		FirstToken:     r.All.FirstToken,
		BetweenTokens:  r.All.BetweenTokens,
		EntryCPU:       (entryAfter.cpu - entry.cpu) / requests,
		EngineCPU:      (engineAfter.cpu - engine.cpu) / requests,
		EntryPeak:      entryAfter.peak,
	}, nil
}

func (c BenchConfig) usages() (entry, engine usage, err error) {
	entry, err = processUsage(c.EntryProcess)
	if err != nil {
		return entry, engine, err
	}
	engine, err = processUsage(c.EngineProcess)
	return entry, engine, err
}

// WriteBench writes rows as a table.
func WriteBench(w io.Writer, rows []BenchRow) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "load\tpath\trequests\twhole\twhole/s\tfirst p50\tfirst p99\tbetween p50\tbetween p99\tentry CPU\tengine CPU\tentry peak")
	for _, r := range rows {
		path := "direct"
		if r.Through {
			path = "entry"
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.0f\t%v\t%v\t%v\t%v\t%v\t%v\t%.1f MB\n",
			r.Name, path, r.Requests, r.Whole, r.WholePerSecond,
			short(r.FirstToken.P50), short(r.FirstToken.P99),
			short(r.BetweenTokens.P50), short(r.BetweenTokens.P99),
			r.EntryCPU.Round(time.Microsecond), r.EngineCPU.Round(time.Microsecond),
			float64(r.EntryPeak)/1e6)
	}
	return t.Flush()
}
