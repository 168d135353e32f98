package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"galenastair/account/play"
	"galenastair/measure"
	"galenastair/rate/compare"
)

var cmdMeasure = command{
	name:    "measure",
	summary: "simulate the scheduling decisions under synthetic loads, and compare them with baselines",
	usage:   "[-seed N] [-site NAME] [-scenario NAME] [-policies N] | -accounts [-seed N]",
	run:     runMeasure,
}

func runMeasure(ctx context.Context, args []string, out, errOut io.Writer) error {
	var o measure.Options
	f := flag.NewFlagSet("measure", flag.ContinueOnError)
	f.SetOutput(errOut)
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the loads; the same seed gives the same results")
	f.StringVar(&o.Site, "site", "", "run only this site: four-zones or three-zones")
	f.StringVar(&o.Scenario, "scenario", "", "run only this scenario")
	f.IntVar(&o.Policies, "policies", 0, "run only the first N policies; 1 runs the policy of this system without baselines")
	accounts := f.Bool("accounts", false, "run only the simulation of organisations' accounts on the users' platform")
	if err := parseFlags(f, args); err != nil {
		return err
	}
	if *accounts {
		return writeAccounts(o.Seed, out)
	}
	if err := measure.Run(ctx, o, out); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "\nmethods of dividing an organisation's rate among instances\n%s", compare.Table(o.Seed)); err != nil {
		return err
	}
	return writeAccounts(o.Seed, out)
}

func writeAccounts(seed uint64, out io.Writer) error {
	_, err := fmt.Fprintf(out, "\none owner per organisation on the users' platform, by number of instances and fault\n%s", play.Table(seed))
	return err
}
