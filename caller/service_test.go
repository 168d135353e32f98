package caller

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"galenastair"
)

func serviceAnswer(body string, length int64) galenastair.ServiceResponse {
	return galenastair.ServiceResponse{
		Status:        http.StatusCreated,
		Header:        http.Header{"X-Lot": {"3"}, "Connection": {"close"}, headerRequestID: {"the service's own"}},
		Body:          io.NopCloser(strings.NewReader(body)),
		ContentLength: length,
	}
}

// Headers that contain the key, whatever their names, and the headers listed in any
// Connection line must not be forwarded to a service: it would learn the key, or apply
// a hop-by-hop header to its own connection.
func TestServiceDoesNotReceiveKey(t *testing.T) {
	is := is.New(t)
	s := &fakeServer{answer: serviceAnswer("sold", 4)}
	g := newTestServer(t, s).do(http.MethodPost, "/services/bids/lots//a%2Fb/../3?x=1&x=2", "bid", headerRequestID, "bid-7",
		"X-Api-Key", testKey, "X-Forwarded-Authorization", "Bearer "+testKey, "Cookie", "k="+testKey, "Proxy-Authorization", testKey,
		"Connection", "X-One", "Connection", "X-Two", "X-One", "1", "X-Two", "2", "X-Kept", "kept")
	is.NoErr(g.connErr)
	is.Equal(g.status, http.StatusCreated)
	is.Equal(g.body, "sold")
	is.Equal(g.header.Get("X-Lot"), "3")
	is.Equal(g.header.Get(headerRequestID), "bid-7")
	is.Equal(len(s.services), 1)
	c := s.services[0]
	is.Equal(c.Key, galenastair.HashKey(testKey))
	is.Equal(string(c.Service)+c.Path+"?"+c.Query, "bids/lots//a%2Fb/../3?x=1&x=2")
	is.Equal(string(c.Body), "bid")
	is.Equal(c.Header.Get("X-Kept"), "kept")
	is.Equal(c.Header.Get("X-One")+c.Header.Get("X-Two"), "")
	for name, values := range c.Header {
		if strings.Contains(strings.Join(values, " "), testKey) {
			t.Errorf("header %s contains the key", name)
		}
	}
}

// A response body shorter than its Content-Length must abort the connection, but not
// the response to a HEAD, which has a Content-Length and no body.
func TestServiceResponses(t *testing.T) {
	is := is.New(t)
	call := func(method string, a galenastair.ServiceResponse) testResponse {
		return newTestServer(t, &fakeServer{answer: a}).do(method, "/services/bids/lots", "")
	}
	is.True(call(http.MethodGet, serviceAnswer("half", 8)).connErr != nil)
	g := call(http.MethodHead, serviceAnswer("", 8))
	is.NoErr(g.connErr)
	is.Equal(g.status, http.StatusCreated)
	is.Equal(g.header.Get("Content-Length"), "8")
	g = call(http.MethodGet, serviceAnswer("all of it", -1))
	is.NoErr(g.connErr)
	is.Equal(g.body, "all of it")
}
