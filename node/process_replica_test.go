package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"galenastair/standin/replica"
)

// replicaSettings is the environment variable with which this test program runs as one replica.
const replicaSettings = "GALENASTAIR_TEST_REPLICA"

// processReplicaSettings configures a replica in a process of its own.
type processReplicaSettings struct {
	replica.Settings
	EventInterval  time.Duration
	CloseDelimited bool
	SendLength     bool
	// CloseEach closes each connection after one response.
	CloseEach bool
	// CrashPart and CrashAfter are the faults of the same names: the process ends, and its connections end with
	// a reset if CrashResets is set, or else as the kernel closes them.
	CrashPart   string
	CrashAfter  int
	CrashResets bool
	// Arrivals receives the parts of the prompt of each request that has any, one request a line.
	Arrivals io.Writer `json:"-"`
}

// runReplica serves until the process is killed or, at SIGTERM, until the current responses have ended.
// SIGUSR1 has it reset all connections.
func runReplica(data string) int {
	var s processReplicaSettings
	if err := json.Unmarshal([]byte(data), &s); err != nil {
		return 2
	}
	if s.Label != "" {
		s.Label = fmt.Sprintf("%s@%s/%d", s.ID, s.Version, os.Getpid())
	}
	r := replica.New(s.Settings)
	r.UpdateFaults(func(f *replica.Faults) {
		f.EventInterval, f.CloseDelimited, f.SendLength = s.EventInterval, s.CloseDelimited, s.SendLength
	})
	var conns sync.Map
	resetAll := func() {
		for c := range conns.Range {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.(*net.TCPConn).Close()
		}
	}
	r.UpdateFaults(func(f *replica.Faults) {
		f.CrashPart, f.CrashAfter, f.Crash = s.CrashPart, s.CrashAfter, func() {
			if s.CrashResets {
				resetAll()
			}
			os.Exit(3)
		}
	})
	server := &http.Server{Addr: s.Address, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if s.CloseEach {
			w.Header().Set("Connection", "close")
		}
		if prefix := req.Header.Get("Galenastair-Prompt-Prefix"); prefix != "" {
			fmt.Println(prefix)
		}
		r.Handler().ServeHTTP(w, req)
	}), ConnState: func(c net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			conns.Store(c, true)
		case http.StateClosed:
			conns.Delete(c)
		}
	}}
	stopped := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGUSR1)
	go func() {
		defer close(stopped)
		for sig := range signals {
			if sig == syscall.SIGTERM {
				_ = server.Shutdown(context.Background())
				return
			}
			resetAll()
		}
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return 1
	}
	<-stopped
	return 0
}

// replicaProcess is a replica in a process of its own, which a test can kill.
type replicaProcess struct {
	c        *cluster
	settings processReplicaSettings
	// mu guards command while the process is restarted.
	mu      sync.Mutex
	command *exec.Cmd
}

// running returns the command of the current process.
func (p *replicaProcess) running() *exec.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command
}

// restartOnExit starts the process again whenever it has ended, until the context is done.
func (p *replicaProcess) restartOnExit(ctx context.Context, delay time.Duration) {
	for {
		_ = p.running().Wait()
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
			p.start()
		}
	}
}

// startReplica starts a replica and registers it. It is one of the service writer that holds m1, unless the
// settings name another service.
func (c *cluster) startReplica(s processReplicaSettings) *replicaProcess {
	c.t.Helper()
	s.Address, s.Zone, s.Slots = freeAddress(c.t), "z1", 64
	if s.Service == "" || s.Service == "writer" {
		s.Service, s.MaxModels, s.MaxAdapters, s.Models = "writer", 3, 2, []string{"m1"}
	}
	p := &replicaProcess{c: c, settings: s}
	p.start()
	c.t.Cleanup(p.kill)
	return p
}

func (p *replicaProcess) start() {
	// the process reports the same start as the registration
	p.settings.StartedAtMillis = time.Now().UnixMilli()
	data, err := json.Marshal(p.settings)
	if err != nil {
		p.c.t.Fatal(err)
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), replicaSettings+"="+string(data))
	command.Stdout = p.settings.Arrivals
	if err := command.Start(); err != nil {
		p.c.t.Fatal(err)
	}
	p.mu.Lock()
	p.command = command
	p.mu.Unlock()
	p.c.waitFor("the replica to listen", func() bool {
		conn, err := net.Dial("tcp", p.settings.Address)
		if err != nil {
			return false
		}
		return conn.Close() == nil
	})
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	// only its registration is used
	r := replica.New(p.settings.Settings)
	p.c.registered[p.settings.ID] = r
	p.c.store.Put("keyed.servers", p.settings.ID, r.Registration())
}

// kill kills the process, which then registers no more. Its last registration stays.
func (p *replicaProcess) kill() { p.stop(syscall.SIGKILL) }

// stop ends the process by a signal. It then registers no more; its last registration stays.
func (p *replicaProcess) stop(sig syscall.Signal) {
	p.c.mu.Lock()
	delete(p.c.registered, p.settings.ID)
	p.c.mu.Unlock()
	_ = p.running().Process.Signal(sig)
	_ = p.running().Wait()
}
