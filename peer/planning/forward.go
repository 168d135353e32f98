package planning

import (
	"galenastair"
	"galenastair/peer/planningpb"
)

func encodeForwardTargets(targets map[galenastair.ServiceName][]string) []*planningpb.ForwardTargets {
	var out []*planningpb.ForwardTargets
	for s, addresses := range targets {
		out = append(out, &planningpb.ForwardTargets{Service: string(s), Addresses: addresses})
	}
	return out
}

func decodeForwardTargets(targets []*planningpb.ForwardTargets) map[galenastair.ServiceName][]string {
	var out map[galenastair.ServiceName][]string
	for _, t := range targets {
		if out == nil {
			out = map[galenastair.ServiceName][]string{}
		}
		out[galenastair.ServiceName(t.Service)] = t.Addresses
	}
	return out
}
