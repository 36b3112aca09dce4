package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the time that the store takes for an answer, as in the tables of SYSTEM.md.
const storeLatency = 4 * time.Millisecond

// pageSize is the most objects in a page of a list.
const pageSize = 500

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type change struct {
	kind    string
	object  object
	deleted bool
}

// Store is a stand-in of the platform's store: linearizable, one revision counter, whole history.
type Store struct {
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []change
	changed  chan struct{} // closed at the next change
}

func newStore() *Store {
	s := &Store{listener: listen("127.0.0.1:0"), revision: 1, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(s.listener) }()
	return s
}

func (s *Store) addr() string { return s.listener.Addr().String() }

// put writes an object as the operator or a runner does. The return of put is the confirmation.
func (s *Store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	check(err)
	s.putRaw(kind, name, raw)
}

func (s *Store) putRaw(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	if bytes.Equal(o.Spec, spec) {
		return // a write that changes nothing
	}
	o.Metadata.Name, o.Spec = name, spec
	s.store(kind, o)
}

// object returns an object as it is stored.
func (s *Store) object(kind, name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	return o, ok
}

func (s *Store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

func (s *Store) store(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.record(change{kind: kind, object: o})
	return o
}

func (s *Store) drop(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.kinds[kind], name)
	s.record(change{kind: kind, object: o, deleted: true})
}

func (s *Store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls of the gateways.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if len(parts) < 2 || parts[0] != "objects" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	time.Sleep(storeLatency)
	kind := parts[1]
	switch {
	case len(parts) == 2 && r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case len(parts) == 2 && r.Method == http.MethodGet:
		s.list(w, r, kind)
	case len(parts) == 2 && r.Method == http.MethodPost:
		s.write(w, r, kind, "", true, false)
	case r.Method == http.MethodGet:
		s.get(w, kind, parts[2])
	case r.Method == http.MethodPut:
		s.write(w, r, kind, parts[2], false, len(parts) == 4 && parts[3] == "status")
	case r.Method == http.MethodDelete:
		s.delete(w, r, kind, parts[2])
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.kinds[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	names := []string{}
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	items := []object{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.kinds[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "storeRevision": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil || wait > 30_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	type event struct {
		Object  object `json:"object"`
		Deleted bool   `json:"deleted"`
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, c := range s.history {
			if c.kind == kind && c.object.Metadata.Revision > from {
				events = append(events, event{c.object, c.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || timedOut {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			timedOut = true
		case <-changed:
		}
	}
}

// write creates an object, or replaces its spec or its status.
func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string, create, status bool) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if create {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.kinds[kind][name]
	switch {
	case create && exists, !create && exists && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
		return
	case !create && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	next := old
	next.Metadata.Name = name
	if status {
		next.Status = o.Status
	} else {
		next.Spec, next.Metadata.Finalizers = o.Spec, o.Metadata.Finalizers
	}
	if exists && bytes.Equal(next.Spec, old.Spec) && bytes.Equal(next.Status, old.Status) {
		reply(w, http.StatusOK, old)
		return
	}
	reply(w, http.StatusOK, s.store(kind, next))
}

func (s *Store) delete(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.kinds[kind][name]
	revision := r.URL.Query().Get("revision")
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case revision != "" && revision != fmt.Sprint(old.Metadata.Revision):
		reply(w, http.StatusConflict, old)
	default:
		s.drop(kind, name)
		reply(w, http.StatusOK, old)
	}
}
