package settings

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/caller"
	"galenastair/inifile"
)

// maxBytes bounds a settings file.
const maxBytes = 1 << 20

// Settings is one instance's checked settings.
type Settings struct {
	Instance    Instance
	Platform    Platform
	Callers     caller.Limits
	Engines     Engines
	WeightStore WeightStore
	Stop        Stop
}

// Instance says who an instance is and where it listens.
type Instance struct {
	ID               galenastair.InstanceID
	Region           galenastair.Region
	AvailabilityZone galenastair.AvailabilityZone
	CallerAddress    string
	OperatorAddress  string
	// PeerAddress is where the other instances reach this one.
	PeerAddress string
	// PeerListenAddress is where it listens for them, if that is another address.
	PeerListenAddress string
	// History is a file to which each grant and ending is written for checking; empty for none.
	History string
}

// Platform says where the platform's services are.
type Platform struct {
	LogAddress          string
	InstanceListAddress string
	WeightStoreAddress  string
	// ListPeriod is how often the instance list is read.
	ListPeriod time.Duration
	// Retention is how long the log keeps records; snapshots are taken well inside it.
	Retention time.Duration
}

// Engines says what is known of the model engines.
type Engines struct {
	// CheckFence names the engines that refuse an order with an old fencing number.
	CheckFence []galenastair.BackendServerID
	// Progress is how long a stream may be quiet before its connection is taken for dead.
	Progress time.Duration
	// ReportPeriod is how often an engine's report is read.
	ReportPeriod time.Duration
}

// WeightStore says what the weight store stands.
type WeightStore struct {
	LoadsPerSecond       float64
	LoadsInFlight        int
	AdapterLoadsInFlight int
}

// Stop says how an instance stops.
type Stop struct {
	// Notice is how long an instance that has been told to stop still takes
	// requests, for the balancer to see that it is leaving.
	Notice time.Duration
	// Timeout is how long requests under way may take to end.
	Timeout time.Duration
}

// Default returns the settings that a file need not give.
func Default() Settings {
	return Settings{
		Instance:    Instance{Region: "region-1"},
		Platform:    Platform{ListPeriod: time.Second, Retention: time.Hour},
		Callers:     caller.DefaultLimits(),
		Engines:     Engines{Progress: 5 * time.Second, ReportPeriod: 500 * time.Millisecond},
		WeightStore: WeightStore{LoadsPerSecond: 1, LoadsInFlight: 2, AdapterLoadsInFlight: 15},
		Stop:        Stop{Notice: 2 * time.Second, Timeout: 2 * time.Minute},
	}
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "settings")
	}
	return Parse(text)
}

// Parse checks the text of a settings file; its error lists all that is wrong.
func Parse(text []byte) (Settings, error) {
	s := Default()
	fields := s.fields()
	file, err := inifile.Parse(text, fields.schema(), maxBytes)
	if err != nil {
		return Settings{}, err
	}
	if err := fields.set(file); err != nil {
		return Settings{}, err
	}
	if s.Instance.PeerListenAddress == "" {
		s.Instance.PeerListenAddress = s.Instance.PeerAddress
	}
	return s, nil
}
