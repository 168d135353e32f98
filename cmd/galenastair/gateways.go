package main

import (
	"fmt"
	"io"
	"time"

	"galenastair/node"
	"galenastair/pool"
)

// printGateways prints a table of the gateways, and one of the backend servers as the first
// gateway reports them.
func printGateways(w io.Writer, all []node.Status) {
	fmt.Fprintln(w, "INSTANCE\tZONE\tREADY\tVERSION\tAGE\tPLANNER\tFLEET\tLENDER")
	for _, s := range all {
		ready := yesOrReason(s.NotReady)
		planner := s.Leader
		if s.IsLeader {
			planner = "itself"
		}
		lender := "answers"
		if s.InFallback {
			lender = "silent"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\n", s.Instance, s.AvailabilityZone, ready,
			s.Version, s.Age.Round(time.Millisecond), planner, s.FleetSize, lender)
	}
	if len(all) == 0 {
		return
	}
	fmt.Fprintf(w, "\nBACKEND SERVER\tSERVICE\tZONE\tADDRESS\tIN USE\tREQUESTS\tFAILURES\tLIMIT\tHOLDS\n")
	for _, b := range all[0].BackendServers {
		use := yesOrReason(string(b.Unavailable))
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%.0f%%\t%s\t%s\n", b.ID, b.Service, b.AvailabilityZone, b.Address,
			use, b.InFlight, 100*b.FailureRate, formatLimit(b), joinNames(b.Holds))
	}
}

func formatLimit(b pool.State) string {
	if b.Limit == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3g/s", b.Limit)
}
