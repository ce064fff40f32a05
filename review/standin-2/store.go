package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The limits of the store on the sheets of the small sites.
const (
	storeDelay    = 4 * time.Millisecond
	history       = 20 * time.Second
	heartbeat     = 1200 * time.Millisecond
	entryLifetime = 3 * heartbeat
	maxPageItems  = 500
)

// item is a key of the store as it was last written.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	plain    string
}

// event is a change of a key.
type event struct {
	item    item
	deleted bool
	at      time.Time
}

// MarshalJSON formats an event as the store reports it.
func (e event) MarshalJSON() ([]byte, error) {
	if e.deleted {
		return json.Marshal(map[string]any{"key": e.item.Key, "revision": e.item.Revision, "deleted": true})
	}
	return json.Marshal(e.item)
}

// store is the platform's metadata store.
type store struct {
	record *record

	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	deadlines map[string]time.Time
	events    []event
	dropped   uint64
}

func newStore(r *record) *store {
	return &store{record: r, revision: 100, items: map[string]item{}, deadlines: map[string]time.Time{}}
}

// serve serves the store's calls on a listener.
func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.handleKey)
	mux.HandleFunc("GET /v1/kv-range", s.handleRange)
	mux.HandleFunc("GET /v1/kv-watch", s.handleWatch)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	go s.expireLoop()
}

// put writes a key. A key with a lifetime is removed unless it is written again within it. It
// returns the time of the confirmation.
func (s *store) put(key, value string, lifetime time.Duration) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if lifetime > 0 {
		s.deadlines[key] = now.Add(lifetime)
	}
	old, known := s.items[key]
	if known && !changed(old.plain, value) {
		return now
	}
	s.revision++
	next := item{Key: key, Value: base64.StdEncoding.EncodeToString([]byte(value)), Revision: s.revision, Created: s.revision, plain: value}
	if known {
		next.Created = old.Created
	}
	s.items[key] = next
	s.events = append(s.events, event{item: next, at: now})
	return now
}

// changed reports whether two values of a key differ in more than "sequence".
func changed(old, next string) bool { return withoutSequence(old) != withoutSequence(next) }

func withoutSequence(value string) string {
	var fields map[string]any
	if json.Unmarshal([]byte(value), &fields) != nil {
		return value
	}
	delete(fields, "sequence")
	plain, _ := json.Marshal(fields)
	return string(plain)
}

// remove removes a key and returns the time of the confirmation.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key)
	return time.Now()
}

func (s *store) removeLocked(key string) {
	if _, known := s.items[key]; !known {
		return
	}
	delete(s.items, key)
	delete(s.deadlines, key)
	s.revision++
	s.events = append(s.events, event{item: item{Key: key, Revision: s.revision}, deleted: true, at: time.Now()})
}

// expireLoop removes the entries whose writers are silent, and drops old history.
func (s *store) expireLoop() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for key, deadline := range s.deadlines {
			if now.After(deadline) {
				s.removeLocked(key)
				s.record.add("store removed %s after three heartbeat intervals of silence", key)
			}
		}
		for len(s.events) > 0 && now.Sub(s.events[0].at) > history {
			s.dropped = s.events[0].item.Revision
			s.events = s.events[1:]
		}
		s.mu.Unlock()
	}
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	one, known := s.items[r.URL.Query().Get("key")]
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, one)
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []item{}
	for key, one := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, one)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	truncated := len(items) > maxPageItems
	if truncated {
		items = items[:maxPageItems]
	}
	reply(w, map[string]any{"items": items, "truncated": truncated, "as_of": s.revision})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if err != nil || after < s.dropped || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []event{}
		for _, e := range s.events {
			if e.item.Revision > after && strings.HasPrefix(e.item.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		asOf := s.revision
		s.mu.Unlock()
		if len(events) > 0 || !time.Now().Before(deadline) {
			reply(w, map[string]any{"events": events, "as_of": asOf})
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
