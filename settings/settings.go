package settings

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/caller"
	"galenastair/inifile"
)

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// Settings are the validated settings of one instance.
type Settings struct {
	Instance    Instance
	Platform    Platform
	Callers     caller.Limits
	Engines     Engines
	WeightStore WeightStore
	Stop        Stop
}

// Instance is the identity of an instance and the addresses at which it listens.
type Instance struct {
	ID               galenastair.InstanceID
	Region           galenastair.Region
	AvailabilityZone galenastair.AvailabilityZone
	CallerAddress    string
	OperatorAddress  string
	// PeerAddress is the address at which the other instances reach this one.
	PeerAddress string
	// PeerListenAddress is the address at which it listens for the other instances. It
	// defaults to PeerAddress.
	PeerListenAddress string
	// HistoryPath is a file to which the tokens granted to each request are written, when it
	// is charged and again when it is settled, so that tests can check them. No file is
	// written if it is empty.
	HistoryPath string
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	LogAddress          string
	InstanceListAddress string
	WeightStoreAddress  string
	// ListPeriod is the interval at which the instance list is read.
	ListPeriod time.Duration
	// Retention is how long the log keeps records. Snapshots are taken at shorter
	// intervals, so that no state is lost with the records.
	Retention time.Duration
}

// Engines holds the settings for the model engines and the connections to them.
type Engines struct {
	// CheckFence lists the engines that reject an order with an old fencing token.
	CheckFence []galenastair.BackendServerID
	// ProgressTimeout is how long a stream may be without data before its connection is
	// considered broken.
	ProgressTimeout time.Duration
	// ReportPeriod is the interval at which the report of an engine is read.
	ReportPeriod time.Duration
}

// WeightStore holds the limits on loads from the weight store, which protect it from overload.
type WeightStore struct {
	LoadsPerSecond       float64
	LoadsInFlight        int
	AdapterLoadsInFlight int
}

// Stop holds the settings for shutting down an instance.
type Stop struct {
	// Notice is how long an instance still accepts requests after the signal to
	// stop, so that the load balancer can stop sending to it first.
	Notice time.Duration
	// Timeout is how long requests in flight may take to complete.
	Timeout time.Duration
}

// Default returns the default values of the optional settings.
func Default() Settings {
	return Settings{
		Instance:    Instance{Region: "region-1"},
		Platform:    Platform{ListPeriod: time.Second, Retention: time.Hour},
		Callers:     caller.DefaultLimits(),
		Engines:     Engines{ProgressTimeout: 5 * time.Second, ReportPeriod: 500 * time.Millisecond},
		WeightStore: WeightStore{LoadsPerSecond: 1, LoadsInFlight: 2, AdapterLoadsInFlight: 15},
		Stop:        Stop{Notice: 2 * time.Second, Timeout: 2 * time.Minute},
	}
}

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "settings")
	}
	return Parse(text)
}

// Parse parses and validates the text of a settings file. The error lists all problems.
func Parse(text []byte) (Settings, error) {
	s := Default()
	fields := s.fields()
	file, err := inifile.Parse(text, fields.schema(), maxFileBytes)
	if err != nil {
		return Settings{}, err
	}
	if err := fields.assign(file); err != nil {
		return Settings{}, err
	}
	if s.Instance.PeerListenAddress == "" {
		s.Instance.PeerListenAddress = s.Instance.PeerAddress
	}
	return s, nil
}
