package settings

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/inifile"
)

// Gateway is the checked settings of an instance that runs on the users' platform.
type Gateway struct {
	ID               galenastair.InstanceID
	Region           galenastair.Region
	AvailabilityZone galenastair.AvailabilityZone
	// CallerAddress, ReadyAddress, PeerAddress and MetricsAddress are where it listens.
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	StoreAddress   string
	// Memory is the process's limit.
	Memory galenastair.Bytes
	// LinkMbps is what the instance's own link carries, in Mbit a second; 0 if not known.
	LinkMbps float64
	Bounds   Bounds
}

// Bounds are the figures that the users' platform holds the system to.
type Bounds struct {
	// KeyLife is how long after its withdrawal a key may still be admitted.
	KeyLife time.Duration
	// StopTimeout is the time from the signal to stop to the end of the process.
	StopTimeout time.Duration
	// BetweenHolders is the least time between orders of two planners.
	BetweenHolders time.Duration
	// FencesChecked says that engines refuse an order with an old fence.
	FencesChecked bool
	// ApplyTimeout is how long after its publication a configuration must be in force.
	ApplyTimeout time.Duration
	// LeaveTimeout is how long after its leaving a backend server may get new work.
	LeaveTimeout time.Duration
	// RetryRatio and RetrySlack bound what is sent once more, over all instances.
	RetryRatio float64
	RetrySlack float64
	// QuotaWindow, QuotaOver and QuotaSlack bound what an organisation may get beyond
	// its rate and burst: in any window, a share of them and a number of tokens.
	QuotaWindow time.Duration
	QuotaOver   float64
	QuotaSlack  float64
}

// megabyte is the unit of the platform's memory limits.
const megabyte = 1_000_000

func (g *Gateway) fields() fields {
	b := &g.Bounds
	memory := whole("Limits", "MemoryMB", &g.Memory, 32, 1<<20)
	return fields{
		name("Gateway", "ID", true, &g.ID),
		name("Gateway", "Region", true, &g.Region),
		name("Gateway", "AvailabilityZone", true, &g.AvailabilityZone),
		address("Gateway", "CallerAddress", &g.CallerAddress),
		address("Gateway", "ReadyAddress", &g.ReadyAddress),
		address("Gateway", "PeerAddress", &g.PeerAddress),
		address("Gateway", "MetricsAddress", &g.MetricsAddress),
		address("Gateway", "StoreAddress", &g.StoreAddress),
		required(memory),
		decimal("Limits", "LinkMbps", &g.LinkMbps, 0, 1e6),
		required(duration("Bounds", "KeyLife", &b.KeyLife, 500*time.Millisecond, time.Hour)),
		required(duration("Bounds", "StopTimeout", &b.StopTimeout, time.Second, time.Hour)),
		required(duration("Bounds", "BetweenHolders", &b.BetweenHolders, 0, time.Hour)),
		required(boolean("Bounds", "FencesChecked", &b.FencesChecked)),
		required(duration("Bounds", "ApplyTimeout", &b.ApplyTimeout, 500*time.Millisecond, time.Hour)),
		required(duration("Bounds", "LeaveTimeout", &b.LeaveTimeout, 100*time.Millisecond, time.Hour)),
		required(decimal("Bounds", "RetryRatio", &b.RetryRatio, 0, 10)),
		required(decimal("Bounds", "RetrySlack", &b.RetrySlack, 0, 1e6)),
		required(duration("Bounds", "QuotaWindow", &b.QuotaWindow, 100*time.Millisecond, time.Hour)),
		required(decimal("Bounds", "QuotaOver", &b.QuotaOver, 0, 10)),
		required(decimal("Bounds", "QuotaSlack", &b.QuotaSlack, 0, 1e12)),
	}
}

func boolean(section, key string, to *bool) field {
	return field{section, key, false, "true or false", func(s string) error {
		if s != "true" && s != "false" {
			return errForm
		}
		*to = s == "true"
		return nil
	}}
}

func required(f field) field {
	f.required = true
	return f
}

// LoadGateway reads and checks a settings file of the users' platform.
func LoadGateway(path string) (Gateway, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, eris.Wrap(err, "settings")
	}
	return ParseGateway(text)
}

// ParseGateway checks the text of such a file; its error lists all that is wrong.
func ParseGateway(text []byte) (Gateway, error) {
	var g Gateway
	fields := g.fields()
	file, err := inifile.Parse(text, fields.schema(), maxBytes)
	if err != nil {
		return Gateway{}, err
	}
	if err := fields.set(file); err != nil {
		return Gateway{}, err
	}
	g.Memory *= megabyte
	return g, nil
}
