package planning

import (
	"time"

	"galenastair"
	"galenastair/peer/planningpb"
	"galenastair/quota"
)

func encodeContribution(out *planningpb.ExchangeRequest, p quota.Passed) {
	out.Fleet = uint32(p.Fleet)
	out.Part = float64(p.Part)
	out.PassedUs = uint64(p.Time.Microseconds())
	out.Version = p.Version
	for o, d := range p.Advanced {
		out.Advanced = append(out.Advanced, &planningpb.Advance{Organisation: string(o), TimeUs: uint64(d.Microseconds())})
	}
}

func decodeContribution(r *planningpb.ExchangeRequest) quota.Passed {
	p := quota.Passed{
		Fleet:    int(r.Fleet),
		Part:     quota.Part(r.Part),
		Time:     time.Duration(r.PassedUs) * time.Microsecond,
		Version:  r.Version,
		Advanced: make(map[galenastair.Organisation]time.Duration, len(r.Advanced)),
	}
	for _, a := range r.Advanced {
		p.Advanced[galenastair.Organisation(a.Organisation)] = time.Duration(a.TimeUs) * time.Microsecond
	}
	return p
}

func encodeAllocation(out *planningpb.ExchangeReply, s quota.Standing) {
	out.Fleet = uint32(s.Fleet)
	out.Part = float64(s.Part)
	out.Version = s.Version
	for _, o := range s.Moderate {
		out.Moderate = append(out.Moderate, string(o))
	}
}

func decodeAllocation(r *planningpb.ExchangeReply) quota.Standing {
	s := quota.Standing{Fleet: int(r.Fleet), Part: quota.Part(r.Part), Version: r.Version}
	for _, o := range r.Moderate {
		s.Moderate = append(s.Moderate, galenastair.Organisation(o))
	}
	return s
}
