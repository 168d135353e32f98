package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// bounds are those of the small deployments' sheets.
var bounds = map[string]string{
	"bounds.revoke-ms": "5000", "bounds.grace-s": "8", "bounds.lease-ms": "3000", "bounds.config-apply-ms": "2000",
	"bounds.drain-ms": "2000", "bounds.evacuate-ms": "", "bounds.budget-ratio": "0.2", "bounds.budget-slack": "52",
	"bounds.quota-window-s": "8", "bounds.quota-over": "0.1", "bounds.quota-slack": "17000", "bounds.fencing-required": "true",
	"limits.memory-mb": "284", "limits.link-mbps": "1000.0", "region": "region-1", "zone": "zone-a",
}

const (
	// drainTime, stableTime and heartbeatInterval are drain-ms, stable-ms and heartbeat-ms of the sheets.
	drainTime         = 2 * time.Second
	stableTime        = 3 * time.Second
	heartbeatInterval = 1200 * time.Millisecond
	// restartDelay is the short delay after which the platform starts a killed process again.
	restartDelay = 500 * time.Millisecond
)

// gateway is one gateway process.
type gateway struct {
	name                       string
	caller, ready, peer, meter string
	settings, output           string
	bootstrap                  bool
	command                    *exec.Cmd
	exited                     chan struct{}
	// expectedEnd is set before the process is made to end.
	expectedEnd bool
}

// fleet is a store and the gateways that use it.
type fleet struct {
	root, dir    string
	store        *store
	storeAddress string
	gateways     []*gateway
	rec          *recorder
	allotted     map[string]bool
	// startedAt is when the processes were last started.
	startedAt time.Time
}

// Ports of gateways are taken from below the range that the kernel uses for outgoing connections: a process
// that starts again needs the port that it had.
const (
	minPort = 20000
	maxPort = 32000
)

// freeAddress returns an address on which nobody listens and that was not returned before.
func (f *fleet) freeAddress() (string, error) {
	for range maxPort - minPort {
		address := fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(maxPort-minPort))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if f.allotted[address] {
			_ = l.Close()
			continue
		}
		f.allotted[address] = true
		return address, l.Close()
	}
	return "", errors.New("no port is free")
}

func newFleet(root string, rec *recorder, size int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "galenastair-review")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, store: newStore(), rec: rec, allotted: map[string]bool{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return f, err
	}
	f.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, f.store.handler()) }()
	for i := range size {
		g := &gateway{name: fmt.Sprintf("gateway-%d", i+1), bootstrap: true}
		for _, address := range []*string{&g.caller, &g.ready, &g.peer, &g.meter} {
			if *address, err = f.freeAddress(); err != nil {
				return f, err
			}
		}
		g.settings, g.output = filepath.Join(dir, g.name+".ini"), filepath.Join(dir, g.name+".out")
		f.gateways = append(f.gateways, g)
	}
	return f, nil
}

// writeSettings fills in the template of the deploy file.
func (f *fleet) writeSettings(g *gateway) error {
	template, err := os.ReadFile(filepath.Join(f.root, "deploy/gateway.ini"))
	if err != nil {
		return err
	}
	var out []string
	for line := range strings.Lines(string(template)) {
		switch {
		case strings.HasPrefix(line, "Zones = "):
			line = "Zones = zone-a:region-1\n"
		case strings.HasPrefix(line, "{{#bounds.evacuate-ms}}"):
			continue
		}
		line = strings.ReplaceAll(line, "{{/bounds.evacuate-ms}}", "")
		line = strings.ReplaceAll(line, "{{ip}}:{{internal-ports.0}}", g.peer)
		line = strings.ReplaceAll(line, "{{ip}}:7601", g.meter)
		for name, value := range bounds {
			line = strings.ReplaceAll(line, "{{"+name+"}}", value)
		}
		for name, value := range map[string]string{"node-name": g.name, "listen.front": g.caller, "listen.ready": g.ready, "provider.address": f.storeAddress, "bootstrap": fmt.Sprint(g.bootstrap)} {
			line = strings.ReplaceAll(line, "{{"+name+"}}", value)
		}
		out = append(out, line)
	}
	return os.WriteFile(g.settings, []byte(strings.Join(out, "")), 0o600)
}

// start starts a gateway with the command of the deploy file.
func (f *fleet) start(g *gateway) error {
	if err := f.writeSettings(g); err != nil {
		return err
	}
	log, err := os.OpenFile(g.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(filepath.Join(f.root, "target/galenastair"), "gateway")
	c.Dir = f.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GALENASTAIR_NODE_FILE=" + g.settings}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	g.command, g.exited, g.bootstrap, g.expectedEnd = c, make(chan struct{}), false, false
	go func(done chan struct{}) {
		err := c.Wait()
		if !g.expectedEnd {
			f.rec.logf("%s ended by itself: %v", g.name, err)
		}
		close(done)
	}(g.exited)
	f.rec.logf("%s starts, process %d", g.name, c.Process.Pid)
	return nil
}

// signal sends a signal to a gateway's process.
func (f *fleet) signal(g *gateway, s syscall.Signal) {
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		g.expectedEnd = true
	}
	f.rec.logf("%s gets %v", g.name, s)
	_ = g.command.Process.Signal(s)
}

func (f *fleet) isReady(g *gateway) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/v1/ready", nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all gateways count as ready.
func (f *fleet) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, g := range f.gateways {
		for !f.isReady(g) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", g.name, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (f *fleet) startAll() error {
	for _, g := range f.gateways {
		if err := f.start(g); err != nil {
			return err
		}
	}
	f.startedAt = time.Now()
	return nil
}

// killAll kills all gateways at once and starts them again.
func (f *fleet) killAll() error {
	for _, g := range f.gateways {
		f.signal(g, syscall.SIGKILL)
	}
	for _, g := range f.gateways {
		<-g.exited
	}
	time.Sleep(restartDelay)
	return f.startAll()
}

// inTouch reports whether the gateways are in touch: nothing has been done to them for stableTime.
func (f *fleet) inTouch() bool { return time.Since(f.startedAt) > stableTime }

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	for _, g := range f.gateways {
		if g.command == nil {
			continue
		}
		g.expectedEnd = true
		_ = g.command.Process.Kill()
		<-g.exited
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, g := range f.gateways {
			data, _ := os.ReadFile(g.output)
			_ = os.WriteFile(filepath.Join(keep, g.name+".out"), data, 0o600)
		}
	}
	_ = os.RemoveAll(f.dir)
}
