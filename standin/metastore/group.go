package metastore

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"time"
)

// group deals the partitions of its topics to its members.
type group struct {
	generation int64
	topics     []string
	members    map[string]time.Time
	owners     map[slot]string
}

type slot struct {
	topic string
	part  int
}

type call struct {
	Group  string   `json:"group"`
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTL    int64    `json:"ttl-ms"`
}

func readCall(r *http.Request) (call, bool) {
	var c call
	return c, json.NewDecoder(r.Body).Decode(&c) == nil && c.Group != ""
}

func (s *Store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{members: map[string]time.Time{}, owners: map[slot]string{}}
		s.groups[name] = g
	}
	return g
}

// lapse ends members whose time is over.
func (g *group) lapse(now time.Time) {
	changed := false
	for m, until := range g.members {
		if now.After(until) {
			delete(g.members, m)
			changed = true
		}
	}
	if changed {
		g.deal()
	}
}

// deal gives each partition an owner. Those that still live keep theirs as far as the
// partitions stay even; of what one has too many the first go, so that a member that comes
// gets what has been held for longest, as on the users' platform.
func (g *group) deal() {
	g.generation++
	var slots []slot
	for _, t := range g.topics {
		for p := range partitions {
			slots = append(slots, slot{t, p})
		}
	}
	names := make([]string, 0, len(g.members))
	for m := range g.members {
		names = append(names, m)
	}
	sort.Strings(names)
	if len(names) == 0 {
		clear(g.owners)
		return
	}
	most := (len(slots) + len(names) - 1) / len(names)
	count := map[string]int{}
	for _, at := range slices.Backward(slots) {
		owner := g.owners[at]
		if _, ok := g.members[owner]; !ok || count[owner] >= most {
			delete(g.owners, at)
			continue
		}
		count[owner]++
	}
	for _, at := range slots {
		if _, ok := g.owners[at]; ok {
			continue
		}
		least := slices.MinFunc(names, func(a, b string) int { return count[a] - count[b] })
		g.owners[at] = least
		count[least]++
	}
}

func (s *Store) handleJoin(w http.ResponseWriter, r *http.Request) {
	c, ok := readCall(r)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	g := s.group(c.Group)
	g.lapse(now)
	g.topics = c.Topics
	_, known := g.members[c.Member]
	g.members[c.Member] = now.Add(time.Duration(c.TTL) * time.Millisecond)
	if !known {
		g.deal()
	}
	rows := [][]any{}
	for at, owner := range g.owners {
		if owner == c.Member {
			rows = append(rows, []any{at.topic, at.part, 0})
		}
	}
	answer(w, map[string]any{"generation": g.generation, "ttl-ms": c.TTL, "parts": rows})
}

func (s *Store) handleLeave(w http.ResponseWriter, r *http.Request) {
	c, ok := readCall(r)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(c.Group)
	delete(g.members, c.Member)
	g.deal()
	answer(w, map[string]any{})
}

func (s *Store) handleOwners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(r.URL.Query().Get("group"))
	g.lapse(time.Now())
	rows := [][]any{}
	for _, t := range g.topics {
		for p := range partitions {
			// nobody's partition is listed too, with an empty name
			rows = append(rows, []any{t, p, g.owners[slot{t, p}], 0})
		}
	}
	answer(w, map[string]any{"owners": rows})
}
