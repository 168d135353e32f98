package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/operator"
)

// statusTimeout is the time-out of the request to one instance, so that an unreachable instance
// does not delay the others for long.
const statusTimeout = 3 * time.Second

var cmdStatus = command{
	name:    "status",
	summary: "show members, leader, backend servers with their loaded models, and the configuration offset of each instance",
	usage:   "-operators ADDRESS[,ADDRESS...] | -metrics ADDRESS[,ADDRESS...] [-json]",
	run:     runStatus,
}

func runStatus(ctx context.Context, args []string, out, errOut io.Writer) error {
	f := flag.NewFlagSet("status", flag.ContinueOnError)
	f.SetOutput(errOut)
	operators := f.String("operators", "", "addresses of the operators' ports of the instances, separated by commas")
	gateways := f.String("metrics", "", "addresses of the metrics ports of the gateways, separated by commas")
	asJSON := f.Bool("json", false, "print one JSON object per instance")
	if err := parseFlags(f, args); err != nil {
		return err
	}
	if (*operators == "") == (*gateways == "") {
		return usageError("status", "exactly one of -operators and -metrics is required")
	}
	if *gateways != "" {
		return fetchAndPrint(ctx, *gateways, "a metrics", out, errOut, *asJSON, printGateways)
	}
	return fetchAndPrint(ctx, *operators, "an operators'", out, errOut, *asJSON, printEntries)
}

// fetchAndPrint fetches the status from each address and prints them all, as a table or as one
// JSON object each.
func fetchAndPrint[S any](ctx context.Context, addresses, portName string, out, errOut io.Writer, asJSON bool, printTable func(io.Writer, []S)) error {
	var all []S
	failed := 0
	for address := range strings.SplitSeq(addresses, ",") {
		s, err := fetchStatus[S](ctx, address)
		if err != nil {
			failed++
			fmt.Fprintf(errOut, "%s: %v\n", address, err)
			continue
		}
		all = append(all, s)
	}
	if err := printStatus(out, all, asJSON, printTable); err != nil {
		return err
	}
	if failed > 0 {
		return eris.Errorf("%d instances did not answer; check that each address is that of %s port", failed, portName)
	}
	return nil
}

func fetchStatus[S any](ctx context.Context, address string) (S, error) {
	var s S
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		// The callers' port answers with a JSON object too, which would decode as an empty status.
		return s, eris.Errorf("HTTP status %d", resp.StatusCode)
	}
	err = json.NewDecoder(resp.Body).Decode(&s)
	return s, err
}

func printStatus[S any](out io.Writer, all []S, asJSON bool, printTable func(io.Writer, []S)) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		for _, s := range all {
			if err := encoder.Encode(s); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printTable(w, all)
	return w.Flush()
}

func printEntries(w io.Writer, all []operator.Status) {
	printInstances(w, all)
	if len(all) > 0 {
		printBackendServers(w, all[0])
	}
}

func printInstances(w io.Writer, all []operator.Status) {
	fmt.Fprintln(w, "INSTANCE\tZONE\tREADY\tLEASE\tEPOCH\tMEMBERS\tLEADER\tCONFIGURATION\tLOG CONTACT\tREQUESTS")
	for _, s := range all {
		ready := yesOrReason(s.NotReady)
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%d\t%d\t%s\t%d\t%s\t%d\n", s.Instance, s.AvailabilityZone, ready, s.HoldsLease,
			s.Epoch, len(s.Members), s.Leader, s.ConfigurationOffset, s.LogContact.Round(time.Millisecond), s.Requests)
	}
}

func printBackendServers(w io.Writer, s operator.Status) {
	fmt.Fprintf(w, "\nBACKEND SERVER\tROLE\tZONE\tADDRESS\tMEMORY\tRUNNING\tWAITING\tREADY\tLOADING\n")
	for _, b := range s.BackendServers {
		role := string(b.Role)
		if b.Service != "" {
			role += " " + string(b.Service)
		}
		if b.Leaving {
			role += " (leaving)"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d/%d\t%d\t%d\t%s\t%s\n", b.BackendServer, role, b.AvailabilityZone, b.Address,
			b.MemoryUsed, b.MemoryTotal, b.Running, b.Waiting, joinNames(b.Ready), joinNames(b.Loading))
	}
}

// yesOrReason returns "yes", or "no" with the reason if there is one.
func yesOrReason(reason string) string {
	if reason == "" {
		return "yes"
	}
	return "no: " + reason
}

func joinNames(names []galenastair.ModelName) string {
	text := make([]string, len(names))
	for i, n := range names {
		text[i] = string(n)
	}
	return strings.Join(text, " ")
}
