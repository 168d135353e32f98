package planning

import (
	"time"

	"galenastair"
	"galenastair/peer/planningpb"
	"galenastair/quota"
)

func encodeContribution(out *planningpb.ExchangeRequest, p quota.Contribution) {
	out.Fleet = uint32(p.FleetSize)
	out.Part = float64(p.Fraction)
	out.PassedUs = uint64(p.Elapsed.Microseconds())
	out.Version = p.Version
	for o, d := range p.Advanced {
		out.Advanced = append(out.Advanced, &planningpb.Advance{Organisation: string(o), TimeUs: uint64(d.Microseconds())})
	}
}

func decodeContribution(r *planningpb.ExchangeRequest) quota.Contribution {
	p := quota.Contribution{
		FleetSize: int(r.Fleet),
		Fraction:  quota.Fraction(r.Part),
		Elapsed:   time.Duration(r.PassedUs) * time.Microsecond,
		Version:   r.Version,
		Advanced:  make(map[galenastair.Organisation]time.Duration, len(r.Advanced)),
	}
	for _, a := range r.Advanced {
		p.Advanced[galenastair.Organisation(a.Organisation)] = time.Duration(a.TimeUs) * time.Microsecond
	}
	return p
}

func encodeAllocation(out *planningpb.ExchangeReply, s quota.Allocation) {
	out.Fleet = uint32(s.FleetSize)
	out.Part = float64(s.Fraction)
	out.Version = s.Version
	for _, o := range s.LowUsage {
		out.Moderate = append(out.Moderate, string(o))
	}
}

func decodeAllocation(r *planningpb.ExchangeReply) quota.Allocation {
	s := quota.Allocation{FleetSize: int(r.Fleet), Fraction: quota.Fraction(r.Part), Version: r.Version}
	for _, o := range r.Moderate {
		s.LowUsage = append(s.LowUsage, galenastair.Organisation(o))
	}
	return s
}
