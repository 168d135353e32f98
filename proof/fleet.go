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

// Fleet is the layout of a running fleet, read from a JSON file that
// scenario/fleet.sh writes.
type Fleet struct {
	// PlatformAddress is reached directly, not through a relay; operators and the
	// switches of the stand-in use it.
	PlatformAddress string `json:"Platform"`
	Entries         []Entry
	Engines         []BackendServer
	Services        []BackendServer
	dir             string
}

// Entry is one entry instance.
type Entry struct {
	Name            string
	Zone            galenastair.AvailabilityZone
	CallerAddress   string `json:"Caller"`
	OperatorAddress string `json:"Operator"`
	// PeerListenAddress is where the entry listens for its peers; PeerAddress is the
	// relay through which they reach it.
	PeerListenAddress string `json:"PeerListen"`
	PeerAddress       string `json:"Peer"`
	// LogAddress is the relay through which the entry reaches the platform's log.
	LogAddress string `json:"Log"`
}

// BackendServer is one engine or plain service.
type BackendServer struct {
	Name          string
	Zone          galenastair.AvailabilityZone
	ListenAddress string `json:"Listen"`
	// Address is the relay through which entries reach the server.
	Address string
	Service galenastair.ServiceName
}

// fleetFileName is the name of the layout file in the fleet's directory.
const fleetFileName = "fleet.json"

// LoadFleet reads the layout file in a directory.
func LoadFleet(dir string) (*Fleet, error) {
	data, err := os.ReadFile(filepath.Join(dir, fleetFileName))
	if err != nil {
		return nil, eris.Wrap(err, "fleet layout not readable; start a fleet with scenario/fleet.sh")
	}
	f := &Fleet{dir: dir}
	if err := json.Unmarshal(data, f); err != nil {
		return nil, eris.Wrap(err, fleetFileName)
	}
	return f, nil
}

// PID returns the process id that the script last wrote for a process. The script
// restarts processes that exit, so the id changes.
func (f *Fleet) PID(name string) (int, error) {
	data, err := os.ReadFile(filepath.Join(f.dir, name+".pid"))
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimSpace(string(data)))
}

// signal sends a signal to the present process of a name and returns its id.
func (f *Fleet) signal(name string, s syscall.Signal) (int, error) {
	pid, err := f.PID(name)
	if err != nil {
		return 0, err
	}
	return pid, syscall.Kill(pid, s)
}

// waitExit waits until a process has exited, and reports whether it did in time.
func waitExit(pid int, timeout time.Duration) bool {
	const poll = 10 * time.Millisecond
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(poll) {
		if syscall.Kill(pid, 0) != nil {
			return true
		}
	}
	return false
}
