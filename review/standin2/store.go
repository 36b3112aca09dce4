package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's metadata store.
type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Finalizers []string `json:"finalizers"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec,omitempty"`
	Status json.RawMessage `json:"status,omitempty"`
}

// change is an entry of the store's history.
type change struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind string
	at   time.Time
}

// historyTime is how long the store keeps its history (historyS).
const historyTime = 20 * time.Second

// store is a stand-in for the platform's metadata store.
type store struct {
	mu        sync.Mutex
	objects   map[string]map[string]object // by kind and name
	history   []change
	forgotten uint64 // revision up to which the history is gone
	revision  uint64
	changed   chan struct{} // closed at the next change
	addr      string
}

func newStore() (*store, error) {
	s := &store{objects: map[string]map[string]object{}, revision: 100, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// record adds a change. The caller must hold s.mu.
func (s *store) record(kind string, o object, deleted bool) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if deleted {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = o
	}
	s.history = append(s.history, change{Object: o, Deleted: deleted, kind: kind, at: time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// put writes the spec of an object, as servers and operators do.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if string(o.Spec) == string(raw) {
		return
	}
	o.Metadata.Name, o.Spec = name, raw
	s.record(kind, o, false)
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.record(kind, o, true)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// ServeHTTP serves /objects/KIND, /objects/KIND/NAME and /objects/KIND/NAME/status.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if len(parts) < 2 || len(parts) > 4 || parts[0] != "objects" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name := parts[1], ""
	if len(parts) > 2 {
		name = parts[2]
	}
	time.Sleep(2 * time.Millisecond)
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.serveWrite(w, r, kind, name, len(parts) == 4)
	}
}

// A page of a list holds pageSize objects or about pageBytes at most.
const pageSize, pageBytes = 500, 1 << 20

func (s *store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	fits, bytes := 0, 0
	for _, o := range items {
		bytes += len(o.Spec) + len(o.Status)
		if fits > 0 && (fits == pageSize || bytes > pageBytes) {
			break
		}
		fits++
	}
	more := fits < len(items)
	items = items[:fits]
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "storeRevision": s.revision})
}

// forget drops the history that is older than historyTime. The caller must hold s.mu.
func (s *store) forget() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.forgotten = s.history[0].Object.Metadata.Revision
		s.history = s.history[1:]
	}
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		s.forget()
		if since < s.forgotten {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		events, revision, changed := []change{}, s.revision, s.changed
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > since {
				events = append(events, c)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	var in object
	if r.Method != http.MethodDelete {
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	} else {
		in.Metadata.Revision, _ = strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPost:
		reply(w, http.StatusCreated, s.record(kind, in, false))
	case !exists:
		reply(w, http.StatusNotFound, map[string]any{})
	case in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodDelete:
		reply(w, http.StatusOK, s.record(kind, old, true))
	case status:
		if string(old.Status) != string(in.Status) {
			old.Status = in.Status
			old = s.record(kind, old, false)
		}
		reply(w, http.StatusOK, old)
	default:
		if string(old.Spec) != string(in.Spec) {
			old.Spec = in.Spec
			old = s.record(kind, old, false)
		}
		reply(w, http.StatusOK, old)
	}
}
