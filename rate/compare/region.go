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

// One region of the target: 19,000 requests a second over 7 regions, 370 nodes and 14
// availability zones.
const (
	regionNodes             = 53
	regionZones             = 2
	regionOrganisations     = 2000
	regionRequestsPerSecond = 2714
	regionDuration          = 10 * time.Second
	// responseTime is how long a request's tokens stay charged.
	responseTime = 2 * time.Second
	// zipfExponent is the exponent of the organisations' size distribution.
	zipfExponent = 1.0
)

// RegionTable returns a table of the messages that one node sends for rate limits in
// one region of the target.
func RegionTable(seed uint64) string {
	var text strings.Builder
	fmt.Fprintf(&text, "one region of the target: %d nodes, %d organisations (sizes 1/rank), %d requests/s\n",
		regionNodes, regionOrganisations, regionRequestsPerSecond)
	for _, c := range []struct {
		name string
		opts []rate.Option
	}{
		{"holders, each request", []rate.Option{rate.WithoutPrefetch()}},
		{productStrategy, nil},
	} {
		sent, refused, requests := simulateRegion(seed, regionDuration, c.opts...)
		seconds := regionDuration.Seconds() * regionNodes
		fmt.Fprintf(&text, "%-26s %.1f messages/s sent by a node, with their answers %.1f KB/s by HTTP/1.1, %.1f KB/s by HTTP/2; %.2f messages/request, %d of %d refused\n",
			c.name, float64(sent.messages)/seconds, float64(sent.bytesWithHeaders(http1HeaderBytes))/1000/seconds,
			float64(sent.bytesWithHeaders(http2HeaderBytes))/1000/seconds, ratio(sent.messages, requests), refused, requests)
	}
	return text.String()
}

// simulateRegion sends a region's requests for the given time and settles each after
// responseTime.
func simulateRegion(seed uint64, duration time.Duration, opts ...rate.Option) (sent traffic, refused, requests int) {
	organisations, sizes := zipfSizes(regionOrganisations)
	env := &environment{now: time.Unix(1000, 0), instances: regionNodes, zones: regionZones}
	// the contract is far above any use, since refusals are not measured here
	h := newSharedHolders(env, rate.Contract{Rate: 1_000_000, Burst: 10_000_000}, organisations, opts...)
	h.tick()
	env.now = env.now.Add(warmUp)
	h.tick()
	r := rand.New(rand.NewPCG(seed, seed))
	perTick := regionRequestsPerSecond * int(tickInterval/time.Millisecond) / 1000
	var open [][]func(galenastair.Tokens)
	for range int(duration / tickInterval) {
		var settles []func(galenastair.Tokens)
		for range perTick {
			requests++
			o := organisations[drawOrganisation(r, sizes)]
			if settle := h.chargeFor(o, r.IntN(regionNodes), galenastair.Tokens(400+r.IntN(1600))); settle != nil {
				settles = append(settles, settle)
			} else {
				refused++
			}
		}
		open = append(open, settles)
		if len(open) > int(responseTime/tickInterval) {
			for _, settle := range open[0] {
				settle(galenastair.Tokens(200 + r.IntN(200)))
			}
			open = open[1:]
		}
		env.now = env.now.Add(tickInterval)
		h.tick()
	}
	return h.sent, refused, requests
}

// zipfSizes returns organisations and the cumulative sum of their sizes.
func zipfSizes(n int) (organisations []galenastair.Organisation, sizes []float64) {
	sum := 0.0
	for i := range n {
		sum += 1 / math.Pow(float64(i+1), zipfExponent)
		organisations = append(organisations, galenastair.Organisation(fmt.Sprint("organisation-", i)))
		sizes = append(sizes, sum)
	}
	return organisations, sizes
}

// drawOrganisation returns the index of a random organisation, weighted by size.
func drawOrganisation(r *rand.Rand, sizes []float64) int {
	i, _ := slices.BinarySearch(sizes, r.Float64()*sizes[len(sizes)-1])
	return i
}
