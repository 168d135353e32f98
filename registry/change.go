package registry

import (
	"strings"
	"time"

	"galenastair"
	"galenastair/pool"
)

// Change describes what changed in the registration of one backend server since an offset.
type Change struct {
	ID galenastair.BackendServerID
	// Deleted reports that the registration was removed; all other fields but ID are unset.
	Deleted bool
	// Created reports that the registration was created, or created again after a restart of
	// the server, since the offset. Earlier state of the server has to be discarded.
	Created bool
	// Attributes holds the registration apart from its models; nil if these fields did not change.
	Attributes *pool.Server
	// Heartbeat is the number of registrations that the server has sent since its start.
	Heartbeat int64
	// Added and Removed contain model names, and adapter names in the form "model/adapter".
	Added   []galenastair.ModelName
	Removed []galenastair.ModelName
}

// coldTolerance is the difference of ColdUntil between two registrations of one cold start, which
// take different times to arrive.
const coldTolerance = time.Second

// goneTolerance is the difference of GoneAt between two registrations of one announcement. GoneAt is
// a lower bound, which differs by the time for which the registrations may have been on their way.
const goneTolerance = time.Second

// sameAttributes reports whether a registration b equals the one before it, a, apart from its
// models and heartbeat.
func sameAttributes(a, b pool.Server) bool {
	return a.Service == b.Service && a.Address == b.Address && a.AvailabilityZone == b.AvailabilityZone && a.Version == b.Version &&
		a.Slots == b.Slots && a.Leaving == b.Leaving && a.Incarnation == b.Incarnation &&
		b.ColdUntil.Sub(a.ColdUntil) < coldTolerance && a.GoneAt.IsZero() == b.GoneAt.IsZero() && b.GoneAt.Sub(a.GoneAt).Abs() < goneTolerance
}

// qualifiedNames returns the names of all models, and of all adapters in the form "model/adapter".
func qualifiedNames(models []galenastair.LoadedModel) []galenastair.ModelName {
	var out []galenastair.ModelName
	for _, m := range models {
		out = append(out, m.Name)
		for _, a := range m.Adapters {
			out = append(out, m.Name+"/"+galenastair.ModelName(a))
		}
	}
	return out
}

// modelsFromNames is the inverse of qualifiedNames. It omits adapters whose model is missing.
func modelsFromNames(names map[galenastair.ModelName]galenastair.Offset) []galenastair.LoadedModel {
	var out []galenastair.LoadedModel
	index := map[galenastair.ModelName]int{}
	for name := range names {
		if !strings.Contains(string(name), "/") {
			index[name] = len(out)
			out = append(out, galenastair.LoadedModel{Name: name})
		}
	}
	for name := range names {
		model, adapter, isAdapter := strings.Cut(string(name), "/")
		if i, ok := index[galenastair.ModelName(model)]; ok && isAdapter {
			out[i].Adapters = append(out[i].Adapters, adapter)
		}
	}
	return out
}
