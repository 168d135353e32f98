package settings

import (
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/inifile"
)

// Gateway holds the validated settings of an instance that runs on the users' platform.
type Gateway struct {
	ID               galenastair.InstanceID
	Region           galenastair.Region
	AvailabilityZone galenastair.AvailabilityZone
	// CallerAddress, ReadyAddress, PeerAddress and MetricsAddress are the addresses at
	// which the instance listens.
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	StoreAddress   string
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool
	// MemoryLimit is the memory limit of the process.
	MemoryLimit galenastair.Bytes
	// LinkMbps is the bandwidth of the instance's network link in Mbit/s; 0 if unknown.
	LinkMbps float64
	// Zones are the availability zones with their regions.
	Zones  map[galenastair.AvailabilityZone]galenastair.Region
	Bounds Bounds
	Load   LoadHandling
}

// Bounds are the limits that the users' platform requires the system to keep.
type Bounds struct {
	// KeyLife is how long a key may still be accepted after it was withdrawn.
	KeyLife time.Duration
	// StopTimeout is the time from the signal to stop to the end of the process.
	StopTimeout time.Duration
	// BetweenHolders is the minimum time between the orders of two successive leaders.
	BetweenHolders time.Duration
	// FencesChecked reports whether engines reject an order with an old fencing token.
	FencesChecked bool
	// ApplyTimeout is the time after its publication within which a configuration must be
	// in force.
	ApplyTimeout time.Duration
	// LeaveTimeout is how long a backend server may still get new requests after it has
	// announced that it is leaving.
	LeaveTimeout time.Duration
	// EvacuateTimeout is how long the backend servers of an availability zone may still get new
	// requests after its evacuation.
	EvacuateTimeout time.Duration
	// RetryRatio and RetrySlack bound the retries of all instances together.
	RetryRatio float64
	RetrySlack float64
	// QuotaWindow, QuotaOver and QuotaSlack bound how many tokens an organisation may be
	// granted beyond its rate and burst: in any QuotaWindow, the fraction QuotaOver of
	// them plus QuotaSlack tokens.
	QuotaWindow time.Duration
	QuotaOver   float64
	QuotaSlack  float64
}

// LoadHandling switches what an instance does under shortage, and where demand or backend servers are uneven.
type LoadHandling struct {
	// ServerSpeeds has the instances share how fast each backend server is.
	ServerSpeeds bool
	// YieldToUrgent has requests wait for more urgent ones, or refuses them.
	YieldToUrgent Mode
	// HeldMemory is the fraction of the memory limit that may hold bytes for callers and backend
	// servers; 0 is no limit.
	HeldMemory float64
}

// Mode is how a mechanism is run.
type Mode string

// The modes of a mechanism.
const (
	ModeOff Mode = "false"
	ModeOn  Mode = "true"
	// ModeLog logs what the mechanism would do, and does nothing.
	ModeLog Mode = "log"
)

// bytesPerMB is decimal, as the platform's memory limits are.
const bytesPerMB = 1_000_000

func (g *Gateway) fields() fields {
	b := &g.Bounds
	memoryLimit := integer("Limits", "MemoryMB", &g.MemoryLimit, 32, 1<<20)
	return fields{
		name("Gateway", "ID", true, &g.ID),
		name("Gateway", "Region", true, &g.Region),
		name("Gateway", "AvailabilityZone", true, &g.AvailabilityZone),
		zones("Gateway", "Zones", &g.Zones),
		address("Gateway", "CallerAddress", &g.CallerAddress),
		address("Gateway", "ReadyAddress", &g.ReadyAddress),
		address("Gateway", "PeerAddress", &g.PeerAddress),
		address("Gateway", "MetricsAddress", &g.MetricsAddress),
		address("Gateway", "StoreAddress", &g.StoreAddress),
		boolean("Gateway", "FirstStart", &g.FirstStart),
		required(memoryLimit),
		decimal("Limits", "LinkMbps", &g.LinkMbps, 0, 1e6),
		required(duration("Bounds", "KeyLife", &b.KeyLife, 500*time.Millisecond, time.Hour)),
		required(duration("Bounds", "StopTimeout", &b.StopTimeout, time.Second, time.Hour)),
		required(duration("Bounds", "BetweenHolders", &b.BetweenHolders, 0, time.Hour)),
		required(boolean("Bounds", "FencesChecked", &b.FencesChecked)),
		required(duration("Bounds", "ApplyTimeout", &b.ApplyTimeout, 500*time.Millisecond, time.Hour)),
		required(duration("Bounds", "LeaveTimeout", &b.LeaveTimeout, 100*time.Millisecond, time.Hour)),
		duration("Bounds", "EvacuateTimeout", &b.EvacuateTimeout, 0, time.Hour),
		required(decimal("Bounds", "RetryRatio", &b.RetryRatio, 0, 10)),
		required(decimal("Bounds", "RetrySlack", &b.RetrySlack, 0, 1e6)),
		required(duration("Bounds", "QuotaWindow", &b.QuotaWindow, 100*time.Millisecond, time.Hour)),
		required(decimal("Bounds", "QuotaOver", &b.QuotaOver, 0, 10)),
		required(decimal("Bounds", "QuotaSlack", &b.QuotaSlack, 0, 1e12)),
		boolean("Load", "ServerSpeeds", &g.Load.ServerSpeeds),
		mode("Load", "YieldToUrgent", &g.Load.YieldToUrgent),
		decimal("Load", "HeldMemory", &g.Load.HeldMemory, 0, 0.9),
	}
}

func boolean(section, key string, dst *bool) field {
	return field{section, key, false, "true or false", func(s string) error {
		if s != "true" && s != "false" {
			return errInvalidValue
		}
		*dst = s == "true"
		return nil
	}}
}

func mode(section, key string, dst *Mode) field {
	return field{section, key, false, "true, false or log", func(s string) error {
		switch m := Mode(s); m {
		case ModeOff, ModeOn, ModeLog:
			*dst = m
			return nil
		}
		return errInvalidValue
	}}
}

// zones is a list of ZONE:REGION, separated by commas. The platform's template renders nothing where
// the platform names no zones.
func zones(section, key string, dst *map[galenastair.AvailabilityZone]galenastair.Region) field {
	return field{section, key, false, "availability zones and regions, such as a1:east,a2:east", func(s string) error {
		*dst = map[galenastair.AvailabilityZone]galenastair.Region{}
		if s == "" {
			return nil
		}
		for item := range strings.SplitSeq(s, ",") {
			zone, region, ok := strings.Cut(strings.TrimSpace(item), ":")
			if !ok || zone == "" || region == "" {
				return errInvalidValue
			}
			(*dst)[galenastair.AvailabilityZone(zone)] = galenastair.Region(region)
		}
		return nil
	}}
}

func required(f field) field {
	f.required = true
	return f
}

// LoadGateway reads and validates the settings file of a gateway.
func LoadGateway(path string) (Gateway, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, eris.Wrap(err, "settings")
	}
	return ParseGateway(text)
}

// ParseGateway parses and validates the text of such a file. The error lists all problems.
func ParseGateway(text []byte) (Gateway, error) {
	g := Gateway{Load: LoadHandling{YieldToUrgent: ModeOff}}
	fields := g.fields()
	file, err := inifile.Parse(text, fields.schema(), maxFileBytes)
	if err != nil {
		return Gateway{}, err
	}
	if err := fields.assign(file); err != nil {
		return Gateway{}, err
	}
	g.MemoryLimit *= bytesPerMB
	return g, nil
}
