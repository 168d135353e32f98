package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"galenastair/proof"
)

func runProve(ctx context.Context, args []string) error {
	f := flag.NewFlagSet("prove", flag.ContinueOnError)
	dir := f.String("fleet", "", "directory of a fleet that was started by scenario/fleet.sh")
	seed := f.Uint64("seed", 1, "seed of the faults and the load")
	length := f.Duration("length", time.Minute, "how long callers send requests")
	pace := f.Duration("pace", 2*time.Second, "mean time between faults")
	outage := f.Duration("outage", 0, "inject one outage of the log of this length instead of random faults")
	kill := f.Bool("kill", false, "kill an entry during the outage")
	keep := f.String("history", "", "file to which the history is written as JSON")
	if err := f.Parse(args); err != nil {
		return err
	}
	fleet, err := proof.LoadFleet(*dir)
	if err != nil {
		return err
	}
	progress := func(text string) { fmt.Println("proof:", text) }
	h, limits, err := proof.Run(ctx, fleet, proof.RunConfig{Seed: *seed, Duration: *length, FaultInterval: *pace, Outage: *outage, KillEntry: *kill}, progress)
	if err != nil {
		return err
	}
	if err := writeHistory(*keep, h); err != nil {
		return err
	}
	if n := proof.Report(os.Stdout, h, proof.Check(h, limits, proof.DefaultBounds()), 1); n > 0 {
		return fmt.Errorf("%d invariants violated; run 'make proof SEED=%d' to repeat the run", n, *seed)
	}
	return nil
}

func writeHistory(path string, h *proof.History) error {
	if path == "" {
		return nil
	}
	data, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}
