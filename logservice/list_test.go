package logservice

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// At the target a region's list has 48 KB, read each second by each instance.
// Unchanged, it must cost a few hundred bytes, and still be the whole list.
func TestUnchangedListIsNotReadAgain(t *testing.T) {
	is := is.New(t)
	bodies := 0
	tag := `"1"`
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		bodies++
		_, _ = w.Write([]byte(`{"Instances":[{"ID":"engine-` + tag[1:2] + `"}]}`))
	}))
	defer s.Close()
	c := New(s.Listener.Addr().String())
	defer c.Close()
	for range 3 {
		listed, err := c.List(context.Background())
		is.NoErr(err)
		is.Equal(listed[0].ID, "engine-1")
	}
	is.Equal(bodies, 1)
	tag = `"2"`
	listed, err := c.List(context.Background())
	is.NoErr(err)
	is.Equal(listed[0].ID, "engine-2")
}
