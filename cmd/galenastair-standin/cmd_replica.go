package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"galenastair/standin/replica"
	"galenastair/timer"
)

// registrationPeriod is the interval at which a replica renews its registration.
const registrationPeriod = 500 * time.Millisecond

// runReplica runs a backend server of the users' platform and registers it with the
// metadata store. Besides the protocol of the backend server it handles POST
// /switch?name=N&on=true, which switches a fault on or off.
func runReplica(ctx context.Context, args []string) error {
	f := flag.NewFlagSet("replica", flag.ContinueOnError)
	s := replica.Settings{Slots: 8, EventsPerStream: 6}
	f.StringVar(&s.ID, "id", "", "id of the backend server")
	f.StringVar(&s.Service, "service", "", "name of its service")
	f.StringVar(&s.Zone, "zone", "", "availability zone")
	f.StringVar(&s.Address, "listen", "127.0.0.1:0", "address to listen on")
	f.IntVar(&s.MaxModels, "places", 0, "maximum number of loaded models; 0 for a plain service")
	f.IntVar(&s.MaxAdapters, "adapters", 2, "maximum number of loaded adapters")
	models := f.String("models", "", "comma-separated names of models that are loaded at the start")
	store := f.String("store", "", "address of the metadata store")
	if err := f.Parse(args); err != nil {
		return err
	}
	if *models != "" {
		s.Models = strings.Split(*models, ",")
	}
	l, err := listen(s.Address)
	if err != nil {
		return err
	}
	s.Address = l.Addr().String()
	r := replica.New(s)
	mux := http.NewServeMux()
	mux.Handle("/", r.Handler())
	mux.HandleFunc("POST /switch", func(w http.ResponseWriter, req *http.Request) { handleReplicaSwitch(r, w, req) })
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		registerPeriodically(ctx, r, *store, s.ID)
	}()
	err = serve(ctx, l, mux, func() {})
	cancel()
	<-done
	return err
}

func handleReplicaSwitch(r *replica.Replica, w http.ResponseWriter, req *http.Request) {
	on := req.URL.Query().Get("on") == "true"
	switch req.URL.Query().Get("name") {
	case "cut":
		r.UpdateFaults(func(s *replica.Faults) {
			s.CutAfter = 0
			if on {
				s.CutAfter = 2
			}
		})
	case "hang":
		r.UpdateFaults(func(s *replica.Faults) { s.Hang = on })
	case "die":
		r.UpdateFaults(func(s *replica.Faults) { s.CloseConnection = on })
	default:
		http.Error(w, "name is cut, hang or die", http.StatusBadRequest)
	}
}

// registerPeriodically renews the registration until the context is done. It retries
// in the next period if the store cannot be reached.
func registerPeriodically(ctx context.Context, r *replica.Replica, store, id string) {
	target := "http://" + store + "/put?topic=" + replica.RegistrationTopic + "&key=" + url.QueryEscape(id)
	for ctx.Err() == nil {
		if err := putRegistration(ctx, target, r.Registration()); err != nil && ctx.Err() == nil {
			fmt.Fprintln(os.Stderr, "galenastair-standin replica:", err)
		}
		timer.Wait(ctx, registrationPeriod)
	}
}

func putRegistration(ctx context.Context, target string, value []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(value))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
