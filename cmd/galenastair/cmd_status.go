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

// statusTimeout bounds the wait for one instance, so that a dead one does not hold up the rest.
const statusTimeout = 3 * time.Second

var cmdStatus = command{
	name:    "status",
	summary: "show members, leader, backend servers, what is loaded where, and each instance's configuration offset",
	usage:   "-operators ADDRESS[,ADDRESS...] | -metrics ADDRESS[,ADDRESS...] [-json]",
	run:     runStatus,
}

func runStatus(ctx context.Context, args []string, out, errOut io.Writer) error {
	f := flag.NewFlagSet("status", flag.ContinueOnError)
	f.SetOutput(errOut)
	operators := f.String("operators", "", "operators' ports of the instances to ask, with commas between them")
	gateways := f.String("metrics", "", "metrics ports of the gateways to ask, with commas between them")
	asJSON := f.Bool("json", false, "print one JSON object for each instance")
	if err := parseFlags(f, args); err != nil {
		return err
	}
	if (*operators == "") == (*gateways == "") {
		return usageError("status", "one of -operators and -metrics is needed")
	}
	if *gateways != "" {
		return showAll(ctx, *gateways, "a metrics", out, errOut, *asJSON, printGateways)
	}
	return showAll(ctx, *operators, "an operators'", out, errOut, *asJSON, printEntries)
}

// showAll asks each address and prints the answers, as a table or one object each.
func showAll[S any](ctx context.Context, addresses, port string, out, errOut io.Writer, asJSON bool, table func(io.Writer, []S)) error {
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
	if err := printStatus(out, all, asJSON, table); err != nil {
		return err
	}
	if failed > 0 {
		return eris.Errorf("%d instances did not answer; is each address %s port?", failed, port)
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
		// the callers' port answers with an object too, which would read as an empty status
		return s, eris.Errorf("status %d", resp.StatusCode)
	}
	err = json.NewDecoder(resp.Body).Decode(&s)
	return s, err
}

func printStatus[S any](out io.Writer, all []S, asJSON bool, table func(io.Writer, []S)) error {
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
	table(w, all)
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
		ready := yesUnless(s.NotReady)
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

// yesUnless prints yes, or no and the reason that is given.
func yesUnless(reason string) string {
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
