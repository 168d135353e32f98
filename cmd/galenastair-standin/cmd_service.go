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
	advertise := f.String("advertise", "", "address in the instance list; the listening one by default")
	journalPath := f.String("journal", "", "file to which each run is appended")
	platformAddress := f.String("platform", "", "address of the platform; empty to run alone")
	id := f.String("id", "service-"+uuid.NewString()[:8], "id in the instance list")
	name := f.String("name", "bids", "name of the plain service")
	zone := f.String("zone", "zone-1", "availability zone")
	var sw service.Switches
	f.DurationVar(&sw.Delay, "delay", 0, "how long a call takes")
	notice := f.Duration("leave-notice", defaultNotice, "how long it takes requests after SIGTERM")
	if err := f.Parse(args); err != nil {
		return err
	}
	j, err := journal.Open(*journalPath, *id)
	if err != nil {
		return err
	}
	s := service.New(service.WithJournal(j))
	s.Switch(func(now *service.Switches) { *now = sw })
	l, err := listen(*address)
	if err != nil {
		return err
	}
	r := register(*platformAddress, galenastair.ListedInstance{
		ID:               *id,
		Role:             galenastair.RoleService,
		Address:          advertised(*advertise, l),
		AvailabilityZone: galenastair.AvailabilityZone(*zone),
		Service:          galenastair.ServiceName(*name),
	})
	err = serve(ctx, l, s.Handler(), func() { r.leave(*notice) })
	r.withdraw()
	return err
}
