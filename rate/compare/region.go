package compare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"galenastair"
	"galenastair/rate"
)

// One region of the target: 19,000 requests a second over 7 regions, 370 nodes, 14 zones.
const (
	regionNodes         = 53
	regionZones         = 2
	regionOrganisations = 2000
	regionRequests      = 2714
	regionTime          = 10 * time.Second
	// answerTime is how long a request's tokens stay charged.
	answerTime = 2 * time.Second
	// skew is the exponent of the organisations' sizes.
	skew = 1.0
)

// RegionTable prints what a node of one region of the target sends for rates.
func RegionTable(seed uint64) string {
	var text strings.Builder
	fmt.Fprintf(&text, "one region of the target: %d nodes, %d organisations (sizes 1/rank), %d requests/s\n",
		regionNodes, regionOrganisations, regionRequests)
	for _, c := range []struct {
		name string
		opts []rate.Option
	}{
		{"holders, each request", []rate.Option{rate.WithoutAdvances()}},
		{ours, nil},
	} {
		sent, refused, requests := region(seed, regionTime, c.opts...)
		seconds := regionTime.Seconds() * regionNodes
		fmt.Fprintf(&text, "%-26s %.1f messages/s sent by a node, with their answers %.1f KB/s by HTTP/1.1, %.1f KB/s by HTTP/2; %.2f messages/request, %d of %d refused\n",
			c.name, float64(sent.messages)/seconds, float64(sent.bytes(headers1))/1000/seconds,
			float64(sent.bytes(headers2))/1000/seconds, per(sent.messages, requests), refused, requests)
	}
	return text.String()
}

// region sends a region's requests for a time and settles each after answerTime.
func region(seed uint64, span time.Duration, opts ...rate.Option) (sent cost, refused, requests int) {
	organisations, sizes := sized(regionOrganisations)
	s := &site{now: time.Unix(1000, 0), instances: regionNodes, zones: regionZones}
	// a contract far above any use: refusals are not the question here
	h := newHolders(s, rate.Contract{Rate: 1_000_000, Burst: 10_000_000}, organisations, opts...)
	h.tick()
	s.now = s.now.Add(warmTime)
	h.tick()
	r := rand.New(rand.NewPCG(seed, seed))
	perTick := regionRequests * int(tickPeriod/time.Millisecond) / 1000
	var open [][]func(galenastair.Tokens)
	for range int(span / tickPeriod) {
		var settles []func(galenastair.Tokens)
		for range perTick {
			requests++
			o := organisations[pick(r, sizes)]
			if settle := h.chargeFor(o, r.IntN(regionNodes), galenastair.Tokens(400+r.IntN(1600))); settle != nil {
				settles = append(settles, settle)
			} else {
				refused++
			}
		}
		open = append(open, settles)
		if len(open) > int(answerTime/tickPeriod) {
			for _, settle := range open[0] {
				settle(galenastair.Tokens(200 + r.IntN(200)))
			}
			open = open[1:]
		}
		s.now = s.now.Add(tickPeriod)
		h.tick()
	}
	return h.sent, refused, requests
}

// sized returns organisations and the running sum of their sizes.
func sized(n int) (organisations []galenastair.Organisation, sizes []float64) {
	sum := 0.0
	for i := range n {
		sum += 1 / math.Pow(float64(i+1), skew)
		organisations = append(organisations, galenastair.Organisation(fmt.Sprint("organisation-", i)))
		sizes = append(sizes, sum)
	}
	return organisations, sizes
}

// pick draws an organisation by its size.
func pick(r *rand.Rand, sizes []float64) int {
	i, _ := slices.BinarySearch(sizes, r.Float64()*sizes[len(sizes)-1])
	return i
}
