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

// Callers request mostly short answers, and some that take long enough to be running
// when a pause or an outage starts.
const (
	shortTokens      = 12
	longTokens       = 400
	longRequestShare = 0.05
	streamShare      = 0.5
	serviceCallShare = 0.25
	// resendShare is the share of calls to plain services that are sent again although
	// they were answered.
	resendShare = 0.2
	// maxCallAttempts limits how often such a call is sent in all.
	maxCallAttempts   = 4
	requestTimeout    = 30 * time.Second
	healthCheckPeriod = 250 * time.Millisecond
	maxOpenRequests   = 400
)

// customer is one organisation with its contract and the keys that its callers use.
type customer struct {
	name     galenastair.Organisation
	rate     galenastair.TokensPerSecond
	burst    galenastair.Tokens
	models   []galenastair.ModelName
	services []galenastair.ServiceName
	// requestsPerSecond is the mean rate at which its callers send requests.
	requestsPerSecond float64

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

// loadGenerator sends requests as the callers of all organisations.
type loadGenerator struct {
	fleet    *Fleet
	recorder *recorder
	client   *http.Client
	balancer *balancer
	seed     uint64
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxOpenRequests, IdleConnTimeout: 5 * time.Second}}
}

// run sends the requests of one organisation at random intervals, whether or not
// earlier ones were answered, until the context is done. It then waits for the open
// requests. At most maxOpenRequests are open at once.
func (g *loadGenerator) run(ctx context.Context, c *customer, n int) error {
	rng := rand.New(rand.NewPCG(g.seed, uint64(n)+1))
	var open errgroup.Group
	open.SetLimit(maxOpenRequests)
	for i := 0; ctx.Err() == nil; i++ {
		gap := time.Duration(rng.ExpFloat64() / c.requestsPerSecond * float64(time.Second))
		timer.Wait(ctx, gap)
		requestRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		id := fmt.Sprintf("%s-%d", c.name, i)
		open.Go(func() error {
			g.sendOne(c, id, requestRNG)
			return nil
		})
	}
	return open.Wait()
}

func (g *loadGenerator) sendOne(c *customer, id string, rng *rand.Rand) {
	if len(c.services) > 0 && rng.Float64() < serviceCallShare {
		g.callService(c, id, rng)
		return
	}
	g.sendCompletion(c, id, c.models[rng.IntN(len(c.models))], rng)
}

func (g *loadGenerator) sendCompletion(c *customer, id string, model galenastair.ModelName, rng *rand.Rand) {
	tokens := galenastair.Tokens(1 + rng.IntN(shortTokens))
	if rng.Float64() < longRequestShare {
		tokens = longTokens
	}
	q := caller.Request{
		Address:        g.balancer.pickEntry(rng),
		Key:            c.key(rng),
		Model:          model,
		TextCompletion: true,
		Text:           fmt.Sprintf("diary of %s, note %s", c.name, id),
		MaxTokens:      tokens,
		Stream:         rng.Float64() < streamShare,
		RequestID:      galenastair.RequestID(id),
	}
	r := g.send(c, q, Request{Model: model})
	r.Correct = r.served() && expectedText(r.Model, q.Text, q.MaxTokens) == r.text
	g.recorder.addRequest(r.Request)
}

// expectedText returns the text with which a stand-in engine must answer a prompt.
func expectedText(model galenastair.ModelName, prompt string, tokens galenastair.Tokens) string {
	digest := engine.PromptDigest(prompt)
	var b strings.Builder
	for i := range int(tokens) {
		b.WriteString(engine.Token(model, digest, i))
	}
	return b.String()
}

type callBody struct{ Call string }

// callService sends a call that must run at most once. Until it is served or
// rejected for its key, callService repeats it through randomly picked entries with the
// same idempotency key, as a client library does. A share of the calls is repeated
// although they were served.
func (g *loadGenerator) callService(c *customer, id string, rng *rand.Rand) {
	body, _ := json.Marshal(callBody{id})
	q := caller.Request{
		Key:            c.key(rng),
		Service:        string(c.services[0]) + "/lots",
		Text:           string(body),
		IdempotencyKey: galenastair.IdempotencyKey(id),
	}
	resend := rng.Float64() < resendShare
	for n := range maxCallAttempts {
		q.Address = g.balancer.pickEntry(rng)
		q.RequestID = galenastair.RequestID(fmt.Sprintf("%s.%d", id, n))
		r := g.send(c, q, Request{Service: c.services[0], Call: id, IdempotencyKey: q.IdempotencyKey})
		r.Correct = r.served()
		g.recorder.addRequest(r.Request)
		if r.served() && !resend || r.Status == http.StatusUnauthorized {
			return
		}
		resend = resend && !r.served()
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
}

type response struct {
	Request
	text string
}

func (g *loadGenerator) send(c *customer, q caller.Request, r Request) response {
	r.ID, r.Organisation, r.Key = q.RequestID, c.name, galenastair.HashKey(q.Key)
	r.Entry = g.balancer.entryName(q.Address)
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r.Start = time.Now()
	a, err := caller.Send(ctx, g.client, q)
	r.End = time.Now()
	r.ConnectionRefused = errors.Is(err, syscall.ECONNREFUSED)
	r.ConnectionBroken = err != nil && !r.ConnectionRefused || err == nil && a.Status == http.StatusOK && !a.Complete && a.Code == ""
	if err != nil {
		r.Outcome = galenastair.OutcomeUnknown
		return response{r, ""}
	}
	r.Status, r.Outcome, r.Code, r.RetryAfter, r.Complete = a.Status, a.Outcome, a.Code, a.RetryAfter, a.Complete
	r.Tokens = a.Usage.PromptTokens + a.Usage.CompletionTokens
	return response{r, a.Text}
}

func (c *customer) dropKey(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys = slices.DeleteFunc(c.keys, func(k string) bool { return k == key })
}

// modelAnswers reports whether a model answers a customer. Its request is not recorded
// in the history.
func (g *loadGenerator) modelAnswers(c *customer, model galenastair.ModelName) bool {
	rng := rand.New(rand.NewPCG(g.seed, 0))
	q := caller.Request{
		Address: g.balancer.pickEntry(rng), Key: c.key(rng), Model: model, TextCompletion: true, Text: "ready", MaxTokens: 1,
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	a, err := caller.Send(ctx, g.client, q)
	return err == nil && a.Complete
}
