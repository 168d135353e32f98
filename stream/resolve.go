package stream

import (
	"slices"

	"github.com/rotisserie/eris"

	"galenastair"
)

// ErrUnknown means that it is not known which software version began a stream.
var ErrUnknown = eris.New("the software version of the stream is not known")

// ErrPending means that it may become known: not all instances that may know it have answered.
var ErrPending = eris.New("the software version of the stream is not known yet")

// Answer is what one instance knows of a stream.
type Answer struct {
	// Origin is where the stream began, if Known is set.
	Origin Origin
	Known  bool
	// Versions are those that the leader lists for the service. Fresh is set if no stream can have begun
	// at another one yet.
	Versions []galenastair.SoftwareVersion
	Fresh    bool
	// Loaded is set if the instance has read the records that the store has.
	Loaded bool
}

// Fresh reports whether one of the answers is fresh.
func Fresh(answers []Answer) bool {
	return slices.ContainsFunc(answers, func(a Answer) bool { return a.Fresh })
}

// Resolve returns the origin of a stream of a service from the answers of this instance and others. A
// stream that none knows began at the only version that the service has had, if there is just one,
// one of the answers is fresh, and all instances that were asked have answered.
func Resolve(s galenastair.ServiceName, answers []Answer, complete bool) (Origin, error) {
	var versions []galenastair.SoftwareVersion
	for _, a := range answers {
		if a.Known {
			return a.Origin, nil
		}
		versions = append(versions, a.Versions...)
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	switch {
	case !complete, !Fresh(answers):
		return Origin{}, ErrPending
	case len(versions) == 1:
		return Origin{s, versions[0]}, nil
	case !slices.ContainsFunc(answers, func(a Answer) bool { return a.Loaded }):
		return Origin{}, ErrPending
	}
	return Origin{}, ErrUnknown
}
