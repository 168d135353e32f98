package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"galenastair/capacity"
	"galenastair/proof"
)

func runCapacity(ctx context.Context, args []string) error {
	f := flag.NewFlagSet("capacity", flag.ContinueOnError)
	dir := f.String("fleet", "", "directory of a fleet that scenario/fleet.sh started; none prints the table alone")
	rows := f.String("rows", "out/capacity.jsonl", "file of measured rows")
	var p capacity.Plan
	f.IntVar(&p.Organisations, "organisations", 5, "contracts to publish")
	f.Float64Var(&p.ChangesPerDay, "changes-per-day", 0, "changes of configuration while measuring")
	f.DurationVar(&p.Settle, "settle", 8*time.Second, "time before the measurement")
	f.DurationVar(&p.Measure, "measure", 15*time.Second, "time of the measurement")
	if err := f.Parse(args); err != nil {
		return err
	}
	if *dir != "" {
		return measureRow(ctx, *dir, *rows, p)
	}
	measured, err := capacity.Read(*rows)
	if err != nil {
		return err
	}
	return capacity.Table(os.Stdout, measured)
}

func measureRow(ctx context.Context, dir, rows string, p capacity.Plan) error {
	fleet, err := proof.LoadFleet(dir)
	if err != nil {
		return err
	}
	r, err := capacity.Measure(ctx, fleet, p)
	if err != nil {
		return err
	}
	fmt.Printf("measured %d entries, %d engines, %d organisations, %.0f changes a day: %.0f bytes/s\n",
		r.Entries, r.Engines, r.Organisations, r.ChangesPerDay, r.Cost.BytesPerSecond)
	return capacity.Append(rows, r)
}
