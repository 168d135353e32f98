package main

import (
	"context"
	"flag"
	"io"
	"net/http"
	"sync/atomic"

	"galenastair/standin/metastore"
)

// runStore runs the metadata store of the users' platform. Besides the protocol of the
// store it handles POST /put?topic=T&key=K, with which operators and replicas store the
// value in the body, and POST /switch?name=N&on=true, which switches a fault on or off. The
// switch "drill" keeps a copy of the state when it is set, and returns to it when it is reset.
func runStore(ctx context.Context, args []string) error {
	f := flag.NewFlagSet("store", flag.ContinueOnError)
	address := f.String("listen", "127.0.0.1:0", "address to listen on")
	if err := f.Parse(args); err != nil {
		return err
	}
	s := metastore.New()
	var kept atomic.Pointer[metastore.Copy]
	mux := http.NewServeMux()
	mux.Handle("/", s.Handler())
	mux.HandleFunc("POST /put", func(w http.ResponseWriter, r *http.Request) {
		value, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Put(r.URL.Query().Get("topic"), r.URL.Query().Get("key"), value)
	})
	mux.HandleFunc("POST /switch", func(w http.ResponseWriter, r *http.Request) {
		on := r.URL.Query().Get("on") == "true"
		switch r.URL.Query().Get("name") {
		case "refuse":
			s.UpdateFaults(func(sw *metastore.Faults) { sw.Refuse = on })
		case "silent":
			s.UpdateFaults(func(sw *metastore.Faults) { sw.Hang = on })
		case "drill":
			if on {
				kept.Store(s.Copy())
			} else if c := kept.Swap(nil); c != nil {
				s.Restore(c)
			}
		default:
			http.Error(w, "name is refuse, silent or drill", http.StatusBadRequest)
		}
	})
	l, err := listen(*address)
	if err != nil {
		return err
	}
	return serve(ctx, l, mux, func() {})
}
