package registry

import (
	"strings"

	"galenastair"
	"galenastair/pool"
)

// Change is what changed of one backend server since a position.
type Change struct {
	ID galenastair.BackendServerID
	// Gone says that it is to be forgotten; the rest is empty then.
	Gone bool
	// Fresh says that it has come since: what was known of it before is void.
	Fresh bool
	// Identity is all but the models, or nil if that is unchanged.
	Identity *pool.Server
	// Beat counts what it has registered since its start.
	Beat int64
	// Added and Dropped name models, and adapters behind their model and a slash.
	Added   []galenastair.ModelName
	Dropped []galenastair.ModelName
}

// sameIdentity compares what no model is part of.
func sameIdentity(a, b pool.Server) bool {
	return a.Service == b.Service && a.Address == b.Address && a.AvailabilityZone == b.AvailabilityZone &&
		a.Slots == b.Slots && a.Leaving == b.Leaving && a.Born == b.Born
}

// namesOf lists the models and adapters that a registration names.
func namesOf(models []galenastair.EngineModel) []galenastair.ModelName {
	var out []galenastair.ModelName
	for _, m := range models {
		out = append(out, m.Name)
		for _, a := range m.Adapters {
			out = append(out, m.Name+"/"+galenastair.ModelName(a))
		}
	}
	return out
}

// modelsOf is the reverse of namesOf; an adapter without its model is left out.
func modelsOf(names map[galenastair.ModelName]galenastair.Offset) []galenastair.EngineModel {
	var out []galenastair.EngineModel
	at := map[galenastair.ModelName]int{}
	for name := range names {
		if !strings.Contains(string(name), "/") {
			at[name] = len(out)
			out = append(out, galenastair.EngineModel{Name: name})
		}
	}
	for name := range names {
		model, adapter, isAdapter := strings.Cut(string(name), "/")
		if i, ok := at[galenastair.ModelName(model)]; ok && isAdapter {
			out[i].Adapters = append(out[i].Adapters, adapter)
		}
	}
	return out
}
