package node

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
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
}

// runReplica serves until the process is killed.
func runReplica(data string) int {
	var s processReplicaSettings
	if err := json.Unmarshal([]byte(data), &s); err != nil {
		return 2
	}
	r := replica.New(s.Settings)
	r.UpdateFaults(func(f *replica.Faults) { f.EventInterval, f.CloseDelimited = s.EventInterval, s.CloseDelimited })
	if err := http.ListenAndServe(s.Address, r.Handler()); err != nil {
		return 1
	}
	return 0
}

// replicaProcess is a replica in a process of its own, which a test can kill.
type replicaProcess struct {
	c        *cluster
	settings processReplicaSettings
	command  *exec.Cmd
}

// startReplica starts a replica of the service writer that holds m1, and registers it.
func (c *cluster) startReplica(s processReplicaSettings) *replicaProcess {
	c.t.Helper()
	s.Service, s.Address, s.Zone, s.Slots = "writer", freeAddress(c.t), "z1", 64
	s.MaxModels, s.MaxAdapters, s.Models = 3, 2, []string{"m1"}
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
	p.command = exec.Command(os.Args[0])
	p.command.Env = append(os.Environ(), replicaSettings+"="+string(data))
	if err := p.command.Start(); err != nil {
		p.c.t.Fatal(err)
	}
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
func (p *replicaProcess) kill() {
	p.c.mu.Lock()
	delete(p.c.registered, p.settings.ID)
	p.c.mu.Unlock()
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}
