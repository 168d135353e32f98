// Command stand2 starts the project's gateways and a store as processes, runs stand-ins of replicas and
// clients beside them, and judges one rule. It uses loopback addresses only.
package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errNotRun is returned by a case that could not run.
var errNotRun = errors.New("the case could not run")

const key = "key-of-the-organisation"

// world is one small deployment.
type world struct {
	root, dir string
	trouble   bool
	start     time.Time
	store     string
	gateways  []*gateway
	procs     []*exec.Cmd
	version   int

	mu     sync.Mutex
	record *os.File
}

func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// allotted are the ports that freePort has returned.
var allotted sync.Map

// freePort returns a port that no process listens on, below those that outgoing connections get.
func freePort() (string, error) {
	var err error
	for range 100 {
		port := 10000 + mathrand.IntN(20000)
		if _, known := allotted.LoadOrStore(port, true); known {
			continue
		}
		var l net.Listener
		l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", err
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// run starts a program whose output goes to a file of the temporary folder.
func (w *world) run(name string, env []string, args ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(filepath.Join(w.dir, name+".out"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	c := exec.Command(args[0], args[1:]...)
	c.Dir, c.Stdout, c.Stderr, c.Env = w.root, out, out, append(os.Environ(), env...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.procs = append(w.procs, c)
	w.mu.Unlock()
	return c, nil
}

func (w *world) startStore() error {
	address, err := freePort()
	if err != nil {
		return err
	}
	w.store = address
	if _, err := w.run("store", nil, "target/galenastair-standin", "store", "-listen", address); err != nil {
		return err
	}
	return waitPort(address, 5*time.Second)
}

func waitPort(address string, d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if c, err := net.Dial("tcp", address); err == nil {
			c.Close()
			return nil
		}
	}
	return fmt.Errorf("%w: nothing listens on %s", errNotRun, address)
}

// put writes a record as the operator or a replica does.
func (w *world) put(topic, name string, value []byte) error {
	resp, err := http.Post("http://"+w.store+"/put?topic="+topic+"&key="+name, "application/json", bytes.NewReader(value))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return nil
}

// configure writes a new version of the configuration.
func (w *world) configure(routes, services []map[string]any) error {
	w.version += 3
	data, err := json.Marshal(map[string]any{
		"version": w.version, "routes": routes, "services": services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 60000},
		"tenants": []any{map[string]any{"name": "organisation", "api-keys": []string{key}, "unit": "tokens", "plain-tokens": 100, "rate-per-s": 1e8, "burst": 1e8}},
	})
	if err != nil {
		return err
	}
	return w.put("keyed.op", "config", data)
}

// gateway is one machine of the system.
type gateway struct {
	name, zone                  string
	front, ready, peer, metrics string
	settings                    string

	mu        sync.Mutex
	cmd       *exec.Cmd
	troubleAt time.Time
	up        bool
}

// bounds are those of the first small deployment of the pages.
var bounds = map[string]string{
	"revoke-ms": "5000", "grace-s": "8", "lease-ms": "3000", "config-apply-ms": "2000", "drain-ms": "2000",
	"budget-ratio": "0.2", "budget-slack": "52", "quota-window-s": "8", "quota-over": "0.1", "quota-slack": "17000", "fencing-required": "true",
}

const stable = 3 * time.Second

func (w *world) addGateways(n, zones int) error {
	var zoneList []string
	for z := range zones {
		zoneList = append(zoneList, fmt.Sprintf("zone-%d:region-1", z+1))
	}
	template, err := os.ReadFile(filepath.Join(w.root, "deploy/gateway.ini"))
	if err != nil {
		return err
	}
	for i := range n {
		g := &gateway{name: fmt.Sprintf("front-%d", i+1), zone: fmt.Sprintf("zone-%d", i%zones+1)}
		for _, a := range []*string{&g.front, &g.ready, &g.peer, &g.metrics} {
			if *a, err = freePort(); err != nil {
				return err
			}
		}
		r := []string{
			"{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", strings.Join(zoneList, ","),
			"{{#bounds.evacuate-ms}}EvacuateTimeout = {{bounds.evacuate-ms}}ms\n{{/bounds.evacuate-ms}}", "",
			"{{node-name}}", g.name, "{{region}}", "region-1", "{{zone}}", g.zone, "{{listen.front}}", g.front, "{{listen.ready}}", g.ready,
			"{{ip}}:{{internal-ports.0}}", g.peer, "{{ip}}:7601", g.metrics, "{{provider.address}}", w.store, "{{bootstrap}}", "true",
			"{{limits.memory-mb}}", "284", "{{limits.link-mbps}}", "1000",
		}
		for name, v := range bounds {
			r = append(r, "{{bounds."+name+"}}", v)
		}
		g.settings = filepath.Join(w.dir, g.name+".ini")
		if err := os.WriteFile(g.settings, []byte(strings.NewReplacer(r...).Replace(string(template))), 0o644); err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
		if err := w.startGateway(g); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) startGateway(g *gateway) error {
	c, err := w.run(g.name, []string{"GALENASTAIR_NODE_FILE=" + g.settings}, "target/galenastair", "gateway")
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cmd, g.up, g.troubleAt = c, true, time.Now()
	return nil
}

// kill ends the process of a machine at once.
func (w *world) kill(g *gateway) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.cmd.Process.Kill()
	_ = g.cmd.Wait()
	g.up, g.troubleAt = false, time.Now()
	w.logf("kill %s", g.name)
}

// signal sends a signal to the process of a machine.
func (w *world) signal(g *gateway, s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.cmd.Process.Signal(s)
	g.troubleAt = time.Now()
	w.logf("signal %s %s", g.name, s)
}

// inTouch reports whether a machine has run without disruption for stable.
func (g *gateway) inTouch() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.up && time.Since(g.troubleAt) > stable
}

// waitReady waits until all machines report that they are ready.
func (w *world) waitReady(d time.Duration) error {
	end := time.Now().Add(d)
	for _, g := range w.gateways {
		for {
			resp, err := http.Get("http://" + g.ready + "/v1/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s is not ready", errNotRun, g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// endAll ends all processes that were started.
func (w *world) endAll() {
	w.mu.Lock()
	procs := w.procs
	w.mu.Unlock()
	for _, c := range procs {
		if c.ProcessState == nil {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	}
}

type caseFunc func(context.Context, *world) (broken bool, err error)

func main() {
	os.Exit(mainCode())
}

func mainCode() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		return 2
	}
	f, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		return 2
	}
	dir, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		return 2
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		return 2
	}
	defer record.Close()
	w := &world{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}
	ctx, cancel := context.WithTimeout(context.Background(), 115*time.Second)
	defer cancel()
	broken, err := f(ctx, w)
	cancel()
	w.endAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	switch {
	case err != nil:
		w.logf("not run: %v", err)
		fmt.Println(err)
		return 2
	case broken:
		w.logf("verdict: broken")
		return 1
	}
	w.logf("verdict: held")
	return 0
}
