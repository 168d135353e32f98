package stream

import (
	"slices"

	"github.com/rotisserie/eris"

	"galenastair"
)

// ErrUnknown means that it is not known which software version began a stream.
var ErrUnknown = eris.New("the software version of the stream is not known")

// Answer is what one instance knows of a stream.
type Answer struct {
	// Origin is where the stream began, if Known is set.
	Origin Origin
	Known  bool
	// Versions are those that the service has had for some time. Fresh is set if the instance has
	// learned of all servers that have registered.
	Versions []galenastair.SoftwareVersion
	Fresh    bool
}

// Resolve returns the origin of a stream of a service from the answers of this instance and others. A
// stream that none knows began at the only version that the service has had, if there is just one,
// one of the answers is fresh, and all instances that were asked have answered.
func Resolve(s galenastair.ServiceName, answers []Answer, complete bool) (Origin, error) {
	var versions []galenastair.SoftwareVersion
	fresh := false
	for _, a := range answers {
		if a.Known {
			return a.Origin, nil
		}
		versions, fresh = append(versions, a.Versions...), fresh || a.Fresh
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	if !complete || !fresh || len(versions) != 1 {
		return Origin{}, ErrUnknown
	}
	return Origin{s, versions[0]}, nil
}
