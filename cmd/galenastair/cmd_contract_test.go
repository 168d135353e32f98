package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	standin "galenastair/standin/platform"
)

const contractFile = `[Contract]
Organisation = Furnir 1
RateTokensPerSecond = 2000
BurstTokens = 8000
Models = lots
`

// console runs commands against one platform's log.
type console struct {
	t   *testing.T
	log string
	dir string
}

func newConsole(t *testing.T) *console {
	ctx, cancel := context.WithCancel(context.Background())
	s := httptest.NewServer(standin.New().HandlerUntil(ctx))
	t.Cleanup(func() {
		cancel()
		s.Close()
	})
	return &console{t: t, log: s.Listener.Addr().String(), dir: t.TempDir()}
}

// run returns the exit status and all that was printed.
func (o *console) run(args ...string) (int, string) {
	var out bytes.Buffer
	if args[0] != "check" {
		args = append(args[:2:2], append([]string{"-log", o.log, "-author", "ana"}, args[2:]...)...)
	}
	status := dispatch(o.t.Context(), args, &out, &out)
	return status, out.String()
}

func (o *console) file(text string) string {
	path := filepath.Join(o.dir, "contract.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		o.t.Fatal(err)
	}
	return path
}

// Two operators change one contract from the same revision; the second must
// learn that it lost, and to whom.
// Seen failing with change not looking at the outcome.
func TestContractCommands(t *testing.T) {
	is := is.New(t)
	o := newConsole(t)
	expect := func(status int, part string, args ...string) string {
		t.Helper()
		got, text := o.run(args...)
		if got != status || !strings.Contains(text, part) {
			t.Fatalf("%v: status %d\n%s", args, got, text)
		}
		return text
	}
	path := o.file(contractFile)
	expect(0, "valid contract", "check", path)
	expect(0, "accepted revision=1", "contract", "publish", path)
	expect(0, "none: the contract is in force already", "contract", "publish", path)
	path = o.file(strings.Replace(contractFile, "2000", "3000", 1))
	expect(0, "- RateTokensPerSecond = 2000\n+ RateTokensPerSecond = 3000", "contract", "diff", path)
	expect(0, "accepted revision=2", "contract", "publish", "-base", "1", path)
	path = o.file(strings.Replace(contractFile, "2000", "4000", 1))
	expect(1, "Conflict: made from revision 1 (in force: revision 2 by ana", "contract", "publish", "-base", "1", path)
	expect(0, "3000", "contract", "list")

	given := expect(0, "accepted revision=4", "key", "give", "Furnir 1")
	_, rest, _ := strings.Cut(given, "hash=")
	hash, rest, _ := strings.Cut(rest, "\n")
	key := strings.TrimSpace(strings.TrimPrefix(rest, "key="))
	text := expect(0, "KeyHashes = "+hash, "contract", "show", "Furnir 1")
	is.True(!strings.Contains(text, key)) // keys are shown once
	var hashed bytes.Buffer
	is.NoErr(hashKey(strings.NewReader(key+"\n"), &hashed))
	is.Equal(strings.TrimSpace(hashed.String()), hash)
	expect(2, "that is no key hash", "key", "withdraw", key)
	expect(0, "accepted revision=5", "key", "withdraw", hash)
	path = o.file(contractFile + "KeyHashes = " + hash + "\n")
	expect(1, "KeyWasWithdrawn", "contract", "publish", path)
	expect(1, "NoContract", "key", "give", "Furnir 2")
	expect(0, "accepted revision=8", "contract", "withdraw", "Furnir 1")
	expect(1, "has no contract (last revision 8)", "contract", "show", "Furnir 1")
}

// Operators of different languages write numbers in different ways; what is
// wrong must be said by code, line and accepted form, and change nothing.
func TestCheckCommand(t *testing.T) {
	is := is.New(t)
	o := newConsole(t)
	path := o.file(strings.Replace(contractFile, "2000", "2.000", 1))
	status, text := o.run("check", path)
	is.Equal(status, exitFailed)
	is.True(strings.Contains(text, "line 3: NumberForm"))
	is.True(strings.Contains(text, "accepted: plain digits"))
	status, _ = o.run("contract", "publish", path)
	is.Equal(status, exitFailed)
	_, text = o.run("contract", "list")
	is.True(!strings.Contains(text, "Furnir"))
	status, text = o.run("check", o.file("[Nonsense]\n"))
	is.Equal(status, exitFailed)
	is.True(strings.Contains(text, "SectionUnknown"))
}
