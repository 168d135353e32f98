package node

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"testing"

	"galenastair/settings"
)

// processSettings is the environment variable with which this test program runs as one node.
const processSettings = "GALENASTAIR_TEST_NODE"

func TestMain(m *testing.M) {
	if data := os.Getenv(processSettings); data != "" {
		os.Exit(runProcess(data))
	}
	if data := os.Getenv(replicaSettings); data != "" {
		os.Exit(runReplica(data))
	}
	os.Exit(m.Run())
}

// runProcess runs a node until the signal to stop.
func runProcess(data string) int {
	var s settings.Gateway
	if err := json.Unmarshal([]byte(data), &s); err != nil {
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if err := New(s).Run(ctx); err != nil && ctx.Err() == nil {
		return 1
	}
	return 0
}

// nodeProcess is a node in a process of its own, which a test can kill.
type nodeProcess struct {
	*runningNode
	c       *cluster
	command *exec.Cmd
}

// startProcesses starts nodes in processes of their own.
func (c *cluster) startProcesses(count int) []*nodeProcess {
	c.t.Helper()
	out := make([]*nodeProcess, count)
	for i := range out {
		out[i] = &nodeProcess{runningNode: &runningNode{settings: c.newSettings()}, c: c}
		out[i].start()
	}
	c.t.Cleanup(func() { killAll(out) })
	for _, p := range out {
		p.waitReady()
	}
	return out
}

func (p *nodeProcess) start() {
	data, err := json.Marshal(p.settings)
	if err != nil {
		p.c.t.Fatal(err)
	}
	p.command = exec.Command(os.Args[0])
	p.command.Env = append(os.Environ(), processSettings+"="+string(data))
	if err := p.command.Start(); err != nil {
		p.c.t.Fatal(err)
	}
}

func (p *nodeProcess) waitReady() {
	p.c.waitFor("the node to be ready", func() bool { return p.c.status("http://"+p.settings.ReadyAddress+"/v1/ready") == 200 })
}

// killAll kills the processes at the same moment and waits until they have ended.
func killAll(processes []*nodeProcess) {
	for _, p := range processes {
		_ = p.command.Process.Kill()
	}
	var ends sync.WaitGroup
	for _, p := range processes {
		ends.Go(func() { _ = p.command.Wait() })
	}
	ends.Wait()
}

// restartAll kills all processes at the same moment and starts them again.
func restartAll(processes []*nodeProcess) {
	killAll(processes)
	for _, p := range processes {
		p.start()
	}
	for _, p := range processes {
		p.waitReady()
	}
}
