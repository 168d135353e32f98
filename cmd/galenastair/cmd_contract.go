package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/config"
	"galenastair/contract"
)

var cmdContract = command{
	name:    "contract",
	summary: "publish, compare, list, show or withdraw contracts",
	usage:   "publish|diff|list|show|withdraw (-settings FILE | -log ADDRESS) [FILE | ORGANISATION]",
	run:     runContract,
}

func runContract(ctx context.Context, args []string, out, errOut io.Writer) error {
	c := contractCommand{ctx: ctx, out: out, errOut: errOut}
	return runSubcommand("contract", args, map[string]func([]string) error{
		"publish":  c.publish,
		"diff":     c.diff,
		"list":     c.list,
		"show":     c.show,
		"withdraw": c.withdraw,
	}, "publish, diff, list, show, withdraw")
}

// contractCommand holds the state of one invocation of galenastair contract.
type contractCommand struct {
	ctx    context.Context
	out    io.Writer
	errOut io.Writer
	flags  *logFlags
	base   int64
	args   []string
}

// parse parses the flags and checks that n arguments follow them.
func (c *contractCommand) parse(name string, args []string, n int, want string) error {
	f := flag.NewFlagSet("contract "+name, flag.ContinueOnError)
	f.SetOutput(c.errOut)
	c.flags = addLogFlags(f)
	f.Int64Var(&c.base, "base", -1, "revision that the change is based on; the default is the current one")
	if err := parseFlags(f, args); err != nil {
		return err
	}
	c.args = f.Args()
	if len(c.args) != n {
		return usageError("contract", "%s requires %s after the flags", name, want)
	}
	return nil
}

// open reads the current configuration. The returned function cancels the context of the
// command, which ends at the time-out.
func (c *contractCommand) open() (*config.Publisher, *config.View, context.CancelFunc, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.flags.timeout)
	p, v, err := c.flags.openPublisher(ctx, "contract")
	if err != nil {
		cancel()
		return nil, nil, nil, err
	}
	c.ctx = ctx
	return p, v, cancel, nil
}

func (c *contractCommand) publish(args []string) error {
	if err := c.parse("publish", args, 1, "one FILE"); err != nil {
		return err
	}
	next, err := readContract(c.args[0])
	if err != nil {
		return err
	}
	p, v, cancel, err := c.open()
	if err != nil {
		return err
	}
	defer cancel()
	if same, err := c.printDiff(v, next); err != nil || same {
		return err
	}
	body := config.ContractPublished{Base: c.baseRevision(v, next.Organisation), Contract: next}
	return c.flags.publish(c.ctx, p, config.KindContractPublished, body, c.out)
}

func (c *contractCommand) diff(args []string) error {
	if err := c.parse("diff", args, 1, "one FILE"); err != nil {
		return err
	}
	next, err := readContract(c.args[0])
	if err != nil {
		return err
	}
	_, v, cancel, err := c.open()
	if err != nil {
		return err
	}
	defer cancel()
	_, err = c.printDiff(v, next)
	return err
}

// printDiff prints the canonical form of next and its difference to the current contract, and
// reports whether they are equal.
func (c *contractCommand) printDiff(v *config.View, next contract.Contract) (bool, error) {
	var old contract.Contract
	if current, found := v.Contract(next.Organisation); found {
		old = *current
	}
	if len(next.KeyHashes) == 0 {
		// A contract file without keys leaves the keys unchanged.
		next.KeyHashes = old.KeyHashes
	}
	diff := contract.Diff(old, next)
	latest := v.LastChange(next.Organisation)
	fmt.Fprintf(c.out, "%s# difference to revision %d\n", next.Canonical(), latest.Offset)
	if diff == "" {
		_, err := fmt.Fprintln(c.out, "# none: the contract is in force already")
		return true, err
	}
	_, err := fmt.Fprint(c.out, diff)
	return false, err
}

func (c *contractCommand) baseRevision(v *config.View, o galenastair.Organisation) galenastair.Offset {
	if c.base >= 0 {
		return galenastair.Offset(c.base)
	}
	return v.LastChange(o).Offset
}

func (c *contractCommand) list(args []string) error {
	if err := c.parse("list", args, 0, "no arguments"); err != nil {
		return err
	}
	_, v, cancel, err := c.open()
	if err != nil {
		return err
	}
	defer cancel()
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ORGANISATION\tREVISION\tAUTHOR\tRATE TOKENS PER SECOND\tBURST TOKENS\tKEYS\tMODELS\tSERVICES")
	for _, o := range v.Organisations() {
		k, _ := v.Contract(o)
		latest := v.LastChange(o)
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\n", o, latest.Offset, latest.Author,
			k.Rate, k.Burst, len(k.KeyHashes), len(k.Models), len(k.Services))
	}
	return w.Flush()
}

func (c *contractCommand) show(args []string) error {
	if err := c.parse("show", args, 1, "one ORGANISATION"); err != nil {
		return err
	}
	_, v, cancel, err := c.open()
	if err != nil {
		return err
	}
	defer cancel()
	o := galenastair.Organisation(c.args[0])
	latest := v.LastChange(o)
	k, found := v.Contract(o)
	if !found {
		return eris.Errorf("%q has no contract (last revision %d)", o, latest.Offset)
	}
	_, err = fmt.Fprintf(c.out, "# revision %d by %s\n%s", latest.Offset, latest.Author, k.Canonical())
	return err
}

func (c *contractCommand) withdraw(args []string) error {
	if err := c.parse("withdraw", args, 1, "one ORGANISATION"); err != nil {
		return err
	}
	p, v, cancel, err := c.open()
	if err != nil {
		return err
	}
	defer cancel()
	o := galenastair.Organisation(c.args[0])
	k, found := v.Contract(o)
	if !found {
		return eris.Errorf("%q has no contract", o)
	}
	fmt.Fprintf(c.out, "# permanently withdrawn with the contract: %d keys\n%s", len(k.KeyHashes), contract.Diff(*k, contract.Contract{}))
	body := config.ContractWithdrawn{Base: c.baseRevision(v, o), Organisation: o}
	return c.flags.publish(c.ctx, p, config.KindContractWithdrawn, body, c.out)
}

func readContract(path string) (contract.Contract, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return contract.Contract{}, err
	}
	c, err := contract.Parse(text)
	if err != nil {
		return contract.Contract{}, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}
