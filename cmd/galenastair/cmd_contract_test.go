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

// testConsole runs commands against the log of a platform stand-in.
type testConsole struct {
	t   *testing.T
	log string
	dir string
}

func newTestConsole(t *testing.T) *testConsole {
	ctx, cancel := context.WithCancel(context.Background())
	s := httptest.NewServer(standin.New().HandlerWithContext(ctx))
	t.Cleanup(func() {
		cancel()
		s.Close()
	})
	return &testConsole{t: t, log: s.Listener.Addr().String(), dir: t.TempDir()}
}

// run returns the exit status and the output, standard error included.
func (c *testConsole) run(args ...string) (int, string) {
	var out bytes.Buffer
	if args[0] != "check" {
		args = append(args[:2:2], append([]string{"-log", c.log, "-author", "ana"}, args[2:]...)...)
	}
	status := dispatch(c.t.Context(), args, &out, &out)
	return status, out.String()
}

func (c *testConsole) writeContract(text string) string {
	path := filepath.Join(c.dir, "contract.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// Guards against a lost update: two operators change a contract from the same revision, and the
// second must get an error that names the author of the first change. It would see success if
// publish did not check the outcome of its record.
func TestContractCommands(t *testing.T) {
	is := is.New(t)
	c := newTestConsole(t)
	expect := func(status int, part string, args ...string) string {
		t.Helper()
		got, text := c.run(args...)
		if got != status || !strings.Contains(text, part) {
			t.Fatalf("%v: status %d\n%s", args, got, text)
		}
		return text
	}
	path := c.writeContract(contractFile)
	expect(0, "valid contract", "check", path)
	expect(0, "accepted revision=1", "contract", "publish", path)
	expect(0, "none: the contract is in force already", "contract", "publish", path)
	path = c.writeContract(strings.Replace(contractFile, "2000", "3000", 1))
	expect(0, "- RateTokensPerSecond = 2000\n+ RateTokensPerSecond = 3000", "contract", "diff", path)
	expect(0, "accepted revision=2", "contract", "publish", "-base", "1", path)
	path = c.writeContract(strings.Replace(contractFile, "2000", "4000", 1))
	expect(1, "Conflict: made from revision 1 (in force: revision 2 by ana", "contract", "publish", "-base", "1", path)
	expect(0, "3000", "contract", "list")

	given := expect(0, "accepted revision=4", "key", "give", "Furnir 1")
	_, rest, _ := strings.Cut(given, "hash=")
	hash, rest, _ := strings.Cut(rest, "\n")
	key := strings.TrimSpace(strings.TrimPrefix(rest, "key="))
	text := expect(0, "KeyHashes = "+hash, "contract", "show", "Furnir 1")
	is.True(!strings.Contains(text, key)) // a key is printed only when it is given
	var hashed bytes.Buffer
	is.NoErr(hashKey(strings.NewReader(key+"\n"), &hashed))
	is.Equal(strings.TrimSpace(hashed.String()), hash)
	expect(2, "the argument is not a key hash", "key", "withdraw", key)
	expect(0, "accepted revision=5", "key", "withdraw", hash)
	path = c.writeContract(contractFile + "KeyHashes = " + hash + "\n")
	expect(1, "KeyWasWithdrawn", "contract", "publish", path)
	expect(1, "NoContract", "key", "give", "Furnir 2")
	expect(0, "accepted revision=8", "contract", "withdraw", "Furnir 1")
	expect(1, "has no contract (last revision 8)", "contract", "show", "Furnir 1")
}

// Guards against numbers in other notations, as operators write them in their own language,
// that are accepted or reported without code, line and accepted form. An invalid file must
// change nothing.
func TestCheckCommand(t *testing.T) {
	is := is.New(t)
	c := newTestConsole(t)
	path := c.writeContract(strings.Replace(contractFile, "2000", "2.000", 1))
	status, text := c.run("check", path)
	is.Equal(status, exitFailed)
	is.True(strings.Contains(text, "line 3: NumberForm"))
	is.True(strings.Contains(text, "accepted: plain digits"))
	status, _ = c.run("contract", "publish", path)
	is.Equal(status, exitFailed)
	_, text = c.run("contract", "list")
	is.True(!strings.Contains(text, "Furnir"))
	status, text = c.run("check", c.writeContract("[Nonsense]\n"))
	is.Equal(status, exitFailed)
	is.True(strings.Contains(text, "SectionUnknown"))
}
