package record

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/config"
	"galenastair/httpclient"
	"galenastair/peer/recordpb"
)

const (
	// perRound is how many members are asked at a time, if there are not more
	// availability zones: with 400 bytes for a question and its answer, asked and
	// answered, that is 3.8 KB/s while the log is out of reach.
	perRound = 4
	// askTimeout is well over a round trip between zones, about 1 ms, and short
	// beside the 2 s in which a change must be in force: a dead member holds up a round.
	askTimeout = 500 * time.Millisecond
	// foldTimeout bounds the transfer of a fold of some megabytes.
	foldTimeout = 10 * time.Second
)

// Client asks other instances.
type Client struct {
	members func() []config.Peer
	http    *http.Client
	round   atomic.Uint64
}

// NewClient returns a client that asks the members that the function lists, this instance not among them.
func NewClient(members func() []config.Peer) *Client {
	// a fresh connection for each question: outages are rare, and one that went
	// silent since the last would cost a whole timeout
	c := &Client{members: members, http: &http.Client{Transport: httpclient.NewUnpooledTransport()}}
	// 370 instances begin at different members
	c.round.Store(rand.Uint64N(1 << 20))
	return c
}

// Members lists the other instances.
func (c *Client) Members() []config.Peer { return c.members() }

// ReadRecords asks members of each availability zone at once and returns the answers that came in time.
func (c *Client) ReadRecords(ctx context.Context, s galenastair.Stream, from galenastair.Offset) []config.PeerResponse {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := choose(c.members(), int(c.round.Add(1)))
	replies := make(chan *config.PeerResponse, len(asked))
	for _, p := range asked {
		go func() { replies <- c.ask(ctx, s, from, p) }()
	}
	var answers []config.PeerResponse
	for range asked {
		if a := <-replies; a != nil {
			answers = append(answers, *a)
		}
	}
	return answers
}

// ask returns nil for a member that did not answer.
func (c *Client) ask(ctx context.Context, s galenastair.Stream, from galenastair.Offset, p config.Peer) *config.PeerResponse {
	reply, err := c.client(p).ReadRecords(ctx, &recordpb.ReadRecordsRequest{Stream: string(s), From: int64(from)})
	if err != nil {
		return nil
	}
	a := &config.PeerResponse{Peer: p, LogAge: decodeAge(reply.LogAgeMs)}
	a.Batch.First, a.Batch.Next = galenastair.Offset(reply.First), galenastair.Offset(reply.Next)
	for _, rec := range reply.Records {
		a.Batch.Records = append(a.Batch.Records, galenastair.LogRecord{Offset: galenastair.Offset(rec.Offset), Data: rec.Data})
	}
	return a
}

// FetchSnapshot asks one member for the snapshot of its fold.
func (c *Client) FetchSnapshot(ctx context.Context, s galenastair.Stream, p config.Peer) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, foldTimeout)
	defer cancel()
	reply, err := c.client(p).FetchFold(ctx, &recordpb.FetchFoldRequest{Stream: string(s)})
	if err != nil {
		return nil, eris.Wrapf(err, "fold of %s", p.ID)
	}
	return reply.Snapshot, nil
}

func (c *Client) client(p config.Peer) recordpb.Records {
	return recordpb.NewRecordsProtobufClient("http://"+p.Address, c.http)
}

// choose picks members of each zone, others in the next round.
func choose(members []config.Peer, round int) []config.Peer {
	zones := make(map[galenastair.AvailabilityZone][]config.Peer)
	for _, p := range members {
		zones[p.AvailabilityZone] = append(zones[p.AvailabilityZone], p)
	}
	var chosen []config.Peer
	for _, inZone := range zones {
		n := min(max(perRound/len(zones), 1), len(inZone))
		for i := range n {
			chosen = append(chosen, inZone[(round*n+i)%len(inZone)])
		}
	}
	return chosen
}
