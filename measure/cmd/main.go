// Command measure prints the tables of package measure.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"galenastair/measure"
)

func main() {
	var o measure.Options
	flag.Uint64Var(&o.Seed, "seed", 1, "seed of the loads")
	flag.StringVar(&o.Site, "site", "", "only this site")
	flag.StringVar(&o.Scenario, "scenario", "", "only this scenario")
	flag.IntVar(&o.Policies, "policies", 0, "only the first so many policies")
	flag.Parse()
	if err := measure.Run(context.Background(), o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
