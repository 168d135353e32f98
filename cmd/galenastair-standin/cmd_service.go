package main

import (
	"context"
	"flag"

	"github.com/google/uuid"

	"galenastair"
	"galenastair/standin/journal"
	"galenastair/standin/service"
)

func runService(ctx context.Context, args []string) error {
	f := flag.NewFlagSet("service", flag.ContinueOnError)
	address := f.String("listen", "127.0.0.1:0", "address to listen on")
	advertise := f.String("advertise", "", "address in the instance list; by default the address that it listens on")
	journalPath := f.String("journal", "", "file to which the service appends each call that it runs")
	platformAddress := f.String("platform", "", "address of the platform; empty to run without one")
	id := f.String("id", "service-"+uuid.NewString()[:8], "id in the instance list")
	name := f.String("name", "bids", "name of the plain service")
	zone := f.String("zone", "zone-1", "availability zone")
	var sw service.Faults
	f.DurationVar(&sw.Delay, "delay", 0, "duration of a call")
	notice := f.Duration("leave-notice", defaultLeaveNotice, "how long it accepts requests after SIGTERM")
	if err := f.Parse(args); err != nil {
		return err
	}
	j, err := journal.Open(*journalPath, *id)
	if err != nil {
		return err
	}
	s := service.New(service.WithJournal(j))
	s.UpdateFaults(func(current *service.Faults) { *current = sw })
	l, err := listen(*address)
	if err != nil {
		return err
	}
	r := register(*platformAddress, galenastair.ListedInstance{
		ID:               *id,
		Role:             galenastair.RoleService,
		Address:          advertisedAddress(*advertise, l),
		AvailabilityZone: galenastair.AvailabilityZone(*zone),
		Service:          galenastair.ServiceName(*name),
	})
	err = serve(ctx, l, s.Handler(), func() { r.leave(*notice) })
	r.withdraw()
	return err
}
