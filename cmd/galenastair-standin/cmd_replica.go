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

// beatPeriod is how often a replica registers.
const beatPeriod = 500 * time.Millisecond

// runReplica serves a backend server of the users' platform and registers it with the
// store. Beside its own protocol it takes POST /switch?name=N&on=true for its faults.
func runReplica(ctx context.Context, args []string) error {
	f := flag.NewFlagSet("replica", flag.ContinueOnError)
	s := replica.Settings{Slots: 8, Events: 6}
	f.StringVar(&s.ID, "id", "", "its id")
	f.StringVar(&s.Service, "service", "", "its service")
	f.StringVar(&s.Zone, "zone", "", "its availability zone")
	f.StringVar(&s.Address, "listen", "127.0.0.1:0", "address to listen on")
	f.IntVar(&s.Places, "places", 0, "models that it holds at most; 0 for a plain service")
	f.IntVar(&s.Adapters, "adapters", 2, "adapters that it holds at most")
	models := f.String("models", "", "models that it holds at first, with commas between them")
	store := f.String("store", "", "the store's address")
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
	mux.HandleFunc("POST /switch", func(w http.ResponseWriter, req *http.Request) { switchReplica(r, w, req) })
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		beat(ctx, r, *store, s.ID)
	}()
	err = serve(ctx, l, mux, func() {})
	cancel()
	<-ended
	return err
}

func switchReplica(r *replica.Replica, w http.ResponseWriter, req *http.Request) {
	on := req.URL.Query().Get("on") == "true"
	switch req.URL.Query().Get("name") {
	case "cut":
		r.Switch(func(s *replica.Switches) {
			s.CutAfter = 0
			if on {
				s.CutAfter = 2
			}
		})
	case "hang":
		r.Switch(func(s *replica.Switches) { s.Hang = on })
	case "die":
		r.Switch(func(s *replica.Switches) { s.Die = on })
	default:
		http.Error(w, "name is cut, hang or die", http.StatusBadRequest)
	}
}

// beat registers until the context ends; a store that is away is asked again.
func beat(ctx context.Context, r *replica.Replica, store, id string) {
	target := "http://" + store + "/put?topic=" + replica.RegistrationTopic + "&key=" + url.QueryEscape(id)
	for ctx.Err() == nil {
		if err := putRegistration(ctx, target, r.Registration()); err != nil && ctx.Err() == nil {
			fmt.Fprintln(os.Stderr, "galenastair-standin replica:", err)
		}
		timer.Wait(ctx, beatPeriod)
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
