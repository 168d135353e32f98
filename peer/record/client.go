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
	// membersPerRound is the number of members queried at a time, unless there are more
	// availability zones. With 400 bytes per query and response, sent and received, that
	// is 3.8 KB/s while the log is unreachable.
	membersPerRound = 4
	// readTimeout is well above a round trip between zones, about 1 ms. It is short
	// compared to the 2 s within which a change must be in force, because a dead member
	// delays the whole round by this time.
	readTimeout = 500 * time.Millisecond
	// snapshotTimeout allows for a snapshot of some megabytes.
	snapshotTimeout = 10 * time.Second
)

// Client reads streams from other instances. It implements config.PeerClient.
type Client struct {
	members func() []config.Peer
	http    *http.Client
	round   atomic.Uint64
}

// NewClient returns a Client of the members that the function returns, which must not
// include this instance.
func NewClient(members func() []config.Peer) *Client {
	// Connections are not reused: outages of the log are rare, and an idle connection
	// that has been lost meanwhile would cost a whole timeout.
	c := &Client{members: members, http: httpclient.NewPeerClient(httpclient.NewUnpooledTransport())}
	// Up to 370 instances query members in the same order, so each starts at a random one.
	c.round.Store(rand.Uint64N(1 << 20))
	return c
}

// Members returns the other instances.
func (c *Client) Members() []config.Peer { return c.members() }

// ReadRecords queries members of each availability zone in parallel and returns the
// responses received within readTimeout.
func (c *Client) ReadRecords(ctx context.Context, s galenastair.Stream, from galenastair.Offset) []config.PeerResponse {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	queried := chooseMembers(c.members(), int(c.round.Add(1)))
	replies := make(chan *config.PeerResponse, len(queried))
	for _, p := range queried {
		go func() { replies <- c.readFrom(ctx, s, from, p) }()
	}
	var answers []config.PeerResponse
	for range queried {
		if a := <-replies; a != nil {
			answers = append(answers, *a)
		}
	}
	return answers
}

// readFrom queries one member. It returns nil if the member did not respond.
func (c *Client) readFrom(ctx context.Context, s galenastair.Stream, from galenastair.Offset, p config.Peer) *config.PeerResponse {
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

// FetchSnapshot returns the snapshot of the state that one member has built from a stream.
func (c *Client) FetchSnapshot(ctx context.Context, s galenastair.Stream, p config.Peer) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	reply, err := c.client(p).FetchFold(ctx, &recordpb.FetchFoldRequest{Stream: string(s)})
	if err != nil {
		return nil, eris.Wrapf(err, "fetch snapshot from %s", p.ID)
	}
	return reply.Snapshot, nil
}

func (c *Client) client(p config.Peer) recordpb.Records {
	return recordpb.NewRecordsProtobufClient("http://"+p.Address, c.http)
}

// chooseMembers returns members of each zone, round-robin by the number of the round.
func chooseMembers(members []config.Peer, round int) []config.Peer {
	zones := make(map[galenastair.AvailabilityZone][]config.Peer)
	for _, p := range members {
		zones[p.AvailabilityZone] = append(zones[p.AvailabilityZone], p)
	}
	var chosen []config.Peer
	for _, inZone := range zones {
		n := min(max(membersPerRound/len(zones), 1), len(inZone))
		for i := range n {
			chosen = append(chosen, inZone[(round*n+i)%len(inZone)])
		}
	}
	return chosen
}
