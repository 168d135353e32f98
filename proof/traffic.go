package proof

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"galenastair"
	"galenastair/caller"
	"galenastair/standin/engine"
	"galenastair/timer"
)

// what callers send: mostly short answers, some that outlast a pause or an outage's start.
const (
	shortTokens = 12
	longTokens  = 400
	longShare   = 0.05
	streamShare = 0.5
	callShare   = 0.25
	// lateShare of the calls that may not be repeated is sent again although the first was answered.
	lateShare = 0.2
	// maxResends bounds how often a caller sends such a call again.
	maxResends      = 4
	requestTimeout  = 30 * time.Second
	balancerPeriod  = 250 * time.Millisecond
	maxOpenRequests = 400
)

// customer is one organisation with its keys in force.
type customer struct {
	name     galenastair.Organisation
	rate     galenastair.TokensPerSecond
	burst    galenastair.Tokens
	models   []galenastair.ModelName
	services []galenastair.ServiceName
	// perSecond is how many requests its callers send.
	perSecond float64

	mu   sync.Mutex
	keys []string
}

func (c *customer) key(rng *rand.Rand) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keys[rng.IntN(len(c.keys))]
}

func (c *customer) addKey(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys = append(c.keys, key)
}

// traffic plays the callers of all organisations.
type traffic struct {
	fleet    *Fleet
	record   *recorder
	client   *http.Client
	balancer *balancer
	seed     uint64
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxOpenRequests, IdleConnTimeout: 5 * time.Second}}
}

// play sends an organisation's requests in an open loop until the context ends,
// then waits for those under way.
func (t *traffic) play(ctx context.Context, c *customer, n int) error {
	rng := rand.New(rand.NewPCG(t.seed, uint64(n)+1))
	var open errgroup.Group
	open.SetLimit(maxOpenRequests)
	for i := 0; ctx.Err() == nil; i++ {
		gap := time.Duration(rng.ExpFloat64() / c.perSecond * float64(time.Second))
		timer.Wait(ctx, gap)
		one := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		id := fmt.Sprintf("%s-%d", c.name, i)
		open.Go(func() error {
			t.one(c, id, one)
			return nil
		})
	}
	return open.Wait()
}

func (t *traffic) one(c *customer, id string, rng *rand.Rand) {
	if len(c.services) > 0 && rng.Float64() < callShare {
		t.bid(c, id, rng)
		return
	}
	t.complete(c, id, c.models[rng.IntN(len(c.models))], rng)
}

func (t *traffic) complete(c *customer, id string, model galenastair.ModelName, rng *rand.Rand) {
	tokens := galenastair.Tokens(1 + rng.IntN(shortTokens))
	if rng.Float64() < longShare {
		tokens = longTokens
	}
	q := caller.Question{
		Entry:     t.balancer.choose(rng),
		Key:       c.key(rng),
		Model:     model,
		Prompt:    true,
		Text:      fmt.Sprintf("diary of %s, note %s", c.name, id),
		MaxTokens: tokens,
		Stream:    rng.Float64() < streamShare,
		RequestID: galenastair.RequestID(id),
	}
	r := t.send(c, q, Request{Model: model})
	r.Right = r.served() && text(r.Model, q.Text, q.MaxTokens) == r.text
	t.record.request(r.Request)
}

// text is the one right answer of a stand-in engine.
func text(model galenastair.ModelName, prompt string, tokens galenastair.Tokens) string {
	digest := engine.Digest(prompt)
	var b strings.Builder
	for i := range int(tokens) {
		b.WriteString(engine.Token(model, digest, i))
	}
	return b.String()
}

type bidBody struct{ Call string }

// bid sends a call that may not be repeated, and sends it again with the same
// idempotency key through other entries while its outcome is not known, as a
// caller's library does. One in some is sent again although it was answered.
func (t *traffic) bid(c *customer, id string, rng *rand.Rand) {
	body, _ := json.Marshal(bidBody{id})
	q := caller.Question{
		Key:            c.key(rng),
		Service:        string(c.services[0]) + "/lots",
		Text:           string(body),
		IdempotencyKey: galenastair.IdempotencyKey(id),
	}
	late := rng.Float64() < lateShare
	for n := range maxResends {
		q.Entry = t.balancer.choose(rng)
		q.RequestID = galenastair.RequestID(fmt.Sprintf("%s.%d", id, n))
		r := t.send(c, q, Request{Service: c.services[0], Call: id, IdempotencyKey: q.IdempotencyKey})
		r.Right = r.served()
		t.record.request(r.Request)
		if r.served() && !late || r.Status == http.StatusUnauthorized {
			return
		}
		late = late && !r.served()
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
}

type sent struct {
	Request
	text string
}

func (t *traffic) send(c *customer, q caller.Question, r Request) sent {
	r.ID, r.Organisation, r.Key = q.RequestID, c.name, galenastair.HashKey(q.Key)
	r.Entry = t.balancer.name(q.Entry)
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r.Start = time.Now()
	a, err := caller.Ask(ctx, t.client, q)
	r.End = time.Now()
	r.Refused = errors.Is(err, syscall.ECONNREFUSED)
	r.Broken = err != nil && !r.Refused || err == nil && a.Status == http.StatusOK && !a.Whole && a.Code == ""
	if err != nil {
		r.Outcome = galenastair.Unknown
		return sent{r, ""}
	}
	r.Status, r.Outcome, r.Code, r.RetryAfter, r.Whole = a.Status, a.Outcome, a.Code, a.RetryAfter, a.Whole
	r.Tokens = a.Usage.PromptTokens + a.Usage.CompletionTokens
	return sent{r, a.Text}
}

func (c *customer) dropKey(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys = slices.DeleteFunc(c.keys, func(k string) bool { return k == key })
}

// probe says whether a model answers a customer; it is not part of the history.
func (t *traffic) probe(c *customer, model galenastair.ModelName) bool {
	rng := rand.New(rand.NewPCG(t.seed, 0))
	q := caller.Question{
		Entry: t.balancer.choose(rng), Key: c.key(rng), Model: model, Prompt: true, Text: "ready", MaxTokens: 1,
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	a, err := caller.Ask(ctx, t.client, q)
	return err == nil && a.Whole
}
