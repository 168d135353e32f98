package settings

import (
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/inifile"
)

const gatewayText = `[Gateway]
ID = front-1
Region = r
AvailabilityZone = z
CallerAddress = 127.0.0.1:8221
ReadyAddress = 127.0.0.1:8224
PeerAddress = 127.0.0.1:7600
MetricsAddress = 127.0.0.1:7601
StoreAddress = 127.0.0.1:8225
[Limits]
MemoryMB = 284
LinkMbps = 1000.0
[Bounds]
KeyLife = 5000ms
StopTimeout = 8s
BetweenHolders = 3000ms
ApplyTimeout = 2000ms
LeaveTimeout = 2000ms
RetryRatio = 0.2
RetrySlack = 52
QuotaWindow = 8s
QuotaOver = 0.1
QuotaSlack = 17000
FencesChecked = true
[Load]
ServerSpeeds = true
YieldToUrgent = log
HeldMemory = 0.25
`

func TestParseGateway(t *testing.T) {
	is := is.New(t)
	g, err := ParseGateway([]byte(gatewayText))
	is.NoErr(err)
	is.Equal(int64(g.MemoryLimit), int64(284_000_000))
	is.Equal(g.Bounds.KeyLife, 5*time.Second)
	is.True(g.Bounds.FencesChecked)
	is.Equal(g.LinkMbps, 1000.0)
	is.Equal(g.Load, LoadHandling{ServerSpeeds: true, YieldToUrgent: ModeLog, HeldMemory: 0.25})
}

// Guards against a required key that is missing or empty and goes unnoticed, as when the platform
// fills in nothing for a field of the template. The bound would be zero; with KeyLife at zero,
// no key would ever be accepted.
func TestParseGatewayRefuses(t *testing.T) {
	for name, text := range map[string]string{
		"missing":    strings.Replace(gatewayText, "KeyLife = 5000ms\n", "", 1),
		"empty":      strings.Replace(gatewayText, "5000ms", "ms", 1),
		"unknown":    gatewayText + "Other = 1\n",
		"mode":       strings.Replace(gatewayText, "= log", "= maybe", 1),
		"no boolean": strings.Replace(gatewayText, "= true", "= yes", 1),
		"host name":  strings.Replace(gatewayText, "127.0.0.1:8225", "store:8225", 1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseGateway([]byte(text))
			is.True(errors.Is(err, inifile.ErrInvalid))
		})
	}
}

var (
	listSection     = regexp.MustCompile(`\{\{#zones\}\}.*\{\{/zones\}\}`)
	optionalSection = regexp.MustCompile(`(?s)\{\{#([a-z.-]+)\}\}(.*?)\{\{/[a-z.-]+\}\}`)
	placeholder     = regexp.MustCompile(`\{\{[a-z0-9.-]+\}\}`)
)

// fillTemplate fills in the template as the platform does; withOptional includes the values that
// not every deployment has.
func fillTemplate(text string, withOptional bool) string {
	text = listSection.ReplaceAllString(text, "a1:east,a2:east")
	section := ""
	if withOptional {
		section = "$2"
	}
	text = optionalSection.ReplaceAllString(text, section)
	return placeholder.ReplaceAllStringFunc(text, func(p string) string {
		switch {
		case strings.Contains(p, "listen") || strings.Contains(p, "address"):
			return "127.0.0.1:1"
		case p == "{{ip}}":
			return "127.0.0.1"
		case strings.Contains(p, "required") || strings.Contains(p, "bootstrap"):
			return "true"
		case strings.Contains(p, "-ratio") || strings.Contains(p, "-over"):
			return "0.1"
		case strings.Contains(p, "-ms"):
			return "3000"
		case strings.Contains(p, "-s}}"):
			return "8"
		}
		return "100"
	})
}

// Guards against an instance that does not start where the platform names no zones.
func TestZonesMayBeEmpty(t *testing.T) {
	is := is.New(t)
	g, err := ParseGateway([]byte(strings.Replace(gatewayText, "Region = r\n", "Region = r\nZones =\n", 1)))
	is.NoErr(err)
	is.Equal(len(g.Zones), 0)
	_, err = ParseGateway([]byte(strings.Replace(gatewayText, "Region = r\n", "Region = r\nZones = a1\n", 1)))
	is.True(errors.Is(err, inifile.ErrInvalid))
}

// Guards against a required key that is missing in the template that the platform fills in.
func TestTemplateNamesAllKeys(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../deploy/gateway.ini")
	is.NoErr(err)
	g, err := ParseGateway([]byte(fillTemplate(string(text), true)))
	is.NoErr(err)
	is.Equal(g.Bounds.EvacuateTimeout, 3*time.Second)
	is.Equal(g.Zones["a2"], galenastair.Region("east"))
	g, err = ParseGateway([]byte(fillTemplate(string(text), false)))
	is.NoErr(err)
	is.Equal(g.Bounds.EvacuateTimeout, time.Duration(0))
}
