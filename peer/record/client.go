package record

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/config"
	"galenastair/httpclient"
	"galenastair/peer/recordpb"
)

const (
	// perZone is how many members of each availability zone are asked: a single
	// one may be the instance that died.
	perZone = 2
	// askTimeout is well over a round trip between zones, about 1 ms.
	askTimeout = time.Second
	// foldTimeout bounds the transfer of a fold of some megabytes.
	foldTimeout = 10 * time.Second
)

// Client asks other instances.
type Client struct {
	members func() []config.Peer
	http    *http.Client
}

// NewClient returns a client that asks the members that the function lists, this instance not among them.
func NewClient(members func() []config.Peer) *Client {
	// a fresh connection for each question: outages are rare, and one that went
	// silent since the last would cost a whole timeout
	return &Client{members: members, http: &http.Client{Transport: httpclient.NewFreshTransport()}}
}

// Members lists the other instances.
func (c *Client) Members() []config.Peer { return c.members() }

// ReadRecords asks members of each availability zone at once and returns the answers that came in time.
func (c *Client) ReadRecords(ctx context.Context, s galenastair.Stream, from galenastair.Offset) []config.Answer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := choose(c.members())
	replies := make(chan *config.Answer, len(asked))
	for _, p := range asked {
		go func() { replies <- c.ask(ctx, s, from, p) }()
	}
	var answers []config.Answer
	for range asked {
		if a := <-replies; a != nil {
			answers = append(answers, *a)
		}
	}
	return answers
}

// ask returns nil for a member that did not answer.
func (c *Client) ask(ctx context.Context, s galenastair.Stream, from galenastair.Offset, p config.Peer) *config.Answer {
	reply, err := c.client(p).ReadRecords(ctx, &recordpb.ReadRecordsRequest{Stream: string(s), From: int64(from)})
	if err != nil {
		return nil
	}
	a := &config.Answer{Peer: p, LogAge: decodeAge(reply.LogAgeMs)}
	a.Batch.First, a.Batch.Next = galenastair.Offset(reply.First), galenastair.Offset(reply.Next)
	for _, rec := range reply.Records {
		a.Batch.Records = append(a.Batch.Records, galenastair.LogRecord{Offset: galenastair.Offset(rec.Offset), Data: rec.Data})
	}
	return a
}

// FetchFold asks one member for the snapshot of its fold.
func (c *Client) FetchFold(ctx context.Context, s galenastair.Stream, p config.Peer) ([]byte, error) {
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

// choose picks members of each zone by chance, so that 370 instances do not all ask the same.
func choose(members []config.Peer) []config.Peer {
	var chosen []config.Peer
	taken := make(map[galenastair.AvailabilityZone]int)
	for _, i := range rand.Perm(len(members)) {
		p := members[i]
		if taken[p.AvailabilityZone] < perZone {
			taken[p.AvailabilityZone]++
			chosen = append(chosen, p)
		}
	}
	return chosen
}
