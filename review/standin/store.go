package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pageItems = 500
	// history is how long changes can be requested.
	history = 20 * time.Second
	// heartbeat is the interval between two writes of a backend; entryLifetime is after how much
	// silence its entry is removed.
	heartbeat     = 1200 * time.Millisecond
	entryLifetime = 3 * heartbeat
)

// item is an entry of the store as it was written, or its deletion.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	log      []item
	// logged holds when each change of log was made; compacted is the last revision that was
	// dropped from it.
	logged    []time.Time
	compacted uint64
	// beats holds when each backend last wrote its entry.
	beats   map[string]time.Time
	changed chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, beats: map[string]time.Time{}, changed: make(chan struct{})}
}

// put writes a value and returns the time at which it was accepted.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // All values are made here.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: data, Revision: s.revision, Created: created}
	s.record(s.items[key])
	return time.Now()
}

func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
		s.record(item{Key: key, Revision: s.revision, Deleted: true})
	}
	return time.Now()
}

func (s *store) record(change item) {
	now := time.Now()
	s.log, s.logged = append(s.log, change), append(s.logged, now)
	for now.Sub(s.logged[0]) > history {
		s.compacted = s.log[0].Revision
		s.log, s.logged = s.log[1:], s.logged[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// beat writes the entry of a backend. If only its sequence has changed, that is no change of the
// store.
func (s *store) beat(e entry) {
	key := "servers/" + e.id
	s.mu.Lock()
	s.beats[key] = time.Now()
	var stored entry
	old, ok := s.items[key]
	same := ok && json.Unmarshal(old.Value, &stored) == nil && stored.equalButSequence(e)
	s.mu.Unlock()
	if !same {
		s.put(key, e)
	}
}

// expire removes the entries of backends that have been silent.
func (s *store) expire() {
	var silent []string
	s.mu.Lock()
	for key, last := range s.beats {
		if time.Since(last) > entryLifetime {
			silent = append(silent, key)
			delete(s.beats, key)
		}
	}
	s.mu.Unlock()
	for _, key := range silent {
		s.remove(key)
	}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	return mux
}

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // A caller that has gone needs no response.
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, struct {
		item
		AsOf uint64 `json:"as_of"`
	}{found, asOf})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	page := struct {
		Items     []item `json:"items"`
		Truncated bool   `json:"truncated"`
		AsOf      uint64 `json:"as_of"`
	}{Items: []item{}}
	s.mu.Lock()
	page.AsOf = s.revision
	for key, entry := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, entry)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(page.Items, func(x, y item) int { return strings.Compare(x.Key, y.Key) })
	if len(page.Items) > pageItems {
		page.Items, page.Truncated = page.Items[:pageItems], true
	}
	respond(w, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	gone := after < s.compacted
	s.mu.Unlock()
	if gone {
		w.WriteHeader(http.StatusGone)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, asOf, changed := s.changesSince(query.Get("prefix"), after)
		done := len(events) > 0 || wait == 0
		if !done {
			select {
			case <-changed:
				continue
			case <-deadline:
			case <-r.Context().Done():
				return
			}
		}
		respond(w, struct {
			Events []item `json:"events"`
			AsOf   uint64 `json:"as_of"`
		}{events, asOf})
		return
	}
}

func (s *store) changesSince(prefix string, after uint64) ([]item, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []item{}
	for _, change := range s.log {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			events = append(events, change)
		}
	}
	return events, s.revision, s.changed
}
