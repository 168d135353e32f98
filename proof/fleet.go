package proof

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
)

// Fleet is the layout of a running fleet, as the script that starts it writes it.
type Fleet struct {
	// Platform is the platform's own address, for operators and switches.
	Platform string
	Entries  []Entry
	Engines  []BackendServer
	Services []BackendServer
	dir      string
}

// Entry is one entry instance.
type Entry struct {
	Name     string
	Zone     galenastair.AvailabilityZone
	Caller   string
	Operator string
	// PeerListen is where it listens; Peer is the relay that others reach it by.
	PeerListen string
	Peer       string
	// Log is the relay by which it reaches the platform's log.
	Log string
}

// BackendServer is one engine or plain service.
type BackendServer struct {
	Name   string
	Zone   galenastair.AvailabilityZone
	Listen string
	// Address is the relay that entries reach it by.
	Address string
	Service galenastair.ServiceName
}

// fleetFile is the layout's name in the fleet's directory.
const fleetFile = "fleet.json"

// LoadFleet reads the layout in a directory.
func LoadFleet(dir string) (*Fleet, error) {
	data, err := os.ReadFile(filepath.Join(dir, fleetFile))
	if err != nil {
		return nil, eris.Wrap(err, "fleet; start one by scenario/fleet.sh")
	}
	f := &Fleet{dir: dir}
	if err := json.Unmarshal(data, f); err != nil {
		return nil, eris.Wrap(err, fleetFile)
	}
	return f, nil
}

// Pid reads the process id that the script last wrote for a name.
func (f *Fleet) Pid(name string) (int, error) {
	data, err := os.ReadFile(filepath.Join(f.dir, name+".pid"))
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimSpace(string(data)))
}

// signal sends a signal to the process that bears a name now and returns its id.
func (f *Fleet) signal(name string, s syscall.Signal) (int, error) {
	pid, err := f.Pid(name)
	if err != nil {
		return 0, err
	}
	return pid, syscall.Kill(pid, s)
}

// waitExit waits until a process is gone, and reports whether it is.
func waitExit(pid int, within time.Duration) bool {
	const poll = 10 * time.Millisecond
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(poll) {
		if syscall.Kill(pid, 0) != nil {
			return true
		}
	}
	return false
}
