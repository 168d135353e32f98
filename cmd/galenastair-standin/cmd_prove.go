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
	dir := f.String("fleet", "", "directory of a fleet that scenario/fleet.sh started")
	seed := f.Uint64("seed", 1, "the order of faults comes from it")
	length := f.Duration("length", time.Minute, "how long callers call")
	pace := f.Duration("pace", 2*time.Second, "mean time between faults")
	outage := f.Duration("outage", 0, "in place of drawn faults, one outage of the log of that length")
	kill := f.Bool("kill", false, "kill an entry in that outage")
	keep := f.String("history", "", "file for the whole history, as JSON")
	if err := f.Parse(args); err != nil {
		return err
	}
	fleet, err := proof.LoadFleet(*dir)
	if err != nil {
		return err
	}
	say := func(text string) { fmt.Println("proof:", text) }
	h, limits, err := proof.Run(ctx, fleet, proof.RunConfig{Seed: *seed, Duration: *length, FaultInterval: *pace, Outage: *outage, KillEntry: *kill}, say)
	if err != nil {
		return err
	}
	if err := keepHistory(*keep, h); err != nil {
		return err
	}
	if n := proof.Report(os.Stdout, h, proof.Check(h, limits, proof.DefaultBounds()), 1); n > 0 {
		return fmt.Errorf("%d points violated; 'make proof SEED=%d' makes the same run again", n, *seed)
	}
	return nil
}

func keepHistory(path string, h *proof.History) error {
	if path == "" {
		return nil
	}
	data, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}
