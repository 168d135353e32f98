package planning

import (
	"galenastair/peer/planningpb"
	"galenastair/planner"
	"galenastair/speed"
)

func encodeSpeedReport(out *planningpb.ExchangeRequest, r planner.Report) {
	out.SpeedSeen = int64(r.LastSpeed)
	for _, o := range r.SpeedObservations {
		out.SpeedKeys = append(out.SpeedKeys, uint32(o.Server))
		out.SpeedRatios = append(out.SpeedRatios, o.Ratio.Steps())
	}
}

func decodeSpeedObservations(r *planningpb.ExchangeRequest) []speed.Observation {
	var out []speed.Observation
	for i, key := range r.SpeedKeys[:min(len(r.SpeedKeys), len(r.SpeedRatios))] {
		out = append(out, speed.Observation{Server: speed.Key(key), Ratio: speed.FromSteps(r.SpeedRatios[i])})
	}
	return out
}

func encodeSpeeds(out *planningpb.ExchangeReply, u speed.Update) {
	out.SpeedNewest = int64(u.Newest)
	for _, f := range u.Factors {
		out.SpeedKeys = append(out.SpeedKeys, uint32(f.Server))
		out.SpeedFactors = append(out.SpeedFactors, f.Ratio.Steps())
	}
}

func decodeSpeeds(r *planningpb.ExchangeReply) speed.Update {
	out := speed.Update{Newest: speed.Sequence(r.SpeedNewest)}
	for i, key := range r.SpeedKeys[:min(len(r.SpeedKeys), len(r.SpeedFactors))] {
		out.Factors = append(out.Factors, speed.Factor{Server: speed.Key(key), Ratio: speed.FromSteps(r.SpeedFactors[i])})
	}
	return out
}
