package logservice

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// The list of a region of the target size has 48 KB, and each instance requests it every
// second. If it is unchanged, the response must have no body, and List must return the
// full list.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	bodyCount := 0
	etag := `"1"`
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", etag)
		if r.Header.Get("If-None-Match") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		bodyCount++
		_, _ = w.Write([]byte(`{"Instances":[{"ID":"engine-` + etag[1:2] + `"}]}`))
	}))
	defer s.Close()
	c := New(s.Listener.Addr().String())
	defer c.Close()
	for range 3 {
		listed, err := c.List(context.Background())
		is.NoErr(err)
		is.Equal(listed[0].ID, "engine-1")
	}
	is.Equal(bodyCount, 1)
	etag = `"2"`
	listed, err := c.List(context.Background())
	is.NoErr(err)
	is.Equal(listed[0].ID, "engine-2")
}
