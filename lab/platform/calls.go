package platform

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"bluebellflow/core/event"
	"bluebellflow/lab/backendapi"
	"bluebellflow/lab/netpartition"
)

// maxWatchWait is the longest time that a watch waits for a change.
const maxWatchWait = time.Minute

// retryAfter is the Retry-After value in seconds of responses with 429 and 503.
const retryAfter = "1"

// withFaults applies the rate limits, and the faults that concern all calls, before next.
func (p *Platform) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := p.Faults()
		w.Header().Set(eraHeader, strconv.FormatUint(p.Era(), 10))
		if f.SlowMS > 0 && !p.sleep(r, time.Duration(f.SlowMS)*time.Millisecond) {
			netpartition.Reset(w)
			return
		}
		if f.Down {
			w.Header().Set("Retry-After", retryAfter)
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		}
		limiter := p.readLimiter
		if r.Method == http.MethodPut {
			limiter = p.writeLimiter
		}
		if !limiter.Allow() {
			p.updateCounts(func(c *Counts) { c.Limited++ })
			w.Header().Set("Retry-After", retryAfter)
			http.Error(w, "too many calls", http.StatusTooManyRequests)
			return
		}
		if p.drawFault(f.LostCallRate) {
			p.updateCounts(func(c *Counts) { c.Lost++ })
			netpartition.Reset(w)
			return
		}
		next(w, r)
	}
}

func (p *Platform) updateCounts(change func(*Counts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.counts)
}

// drawFault reports whether a fault with the given share affects a call.
func (p *Platform) drawFault(share float64) bool {
	if share <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64() < share
}

// sleep waits for d. It returns false if the caller disconnects or the platform closes before.
func (p *Platform) sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	case <-p.stop:
		return false
	}
}

func (p *Platform) handleGet(w http.ResponseWriter, r *http.Request) {
	p.updateCounts(func(c *Counts) { c.Get++ })
	value, version := p.Get(mux.Vars(r)["name"])
	if version == 0 {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", etag(version))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(value)))
	_, _ = w.Write(value)
}

func (p *Platform) handleList(w http.ResponseWriter, r *http.Request) {
	p.updateCounts(func(c *Counts) { c.List++ })
	prefix := r.URL.Query().Get("prefix")
	p.mu.Lock()
	found := []change{}
	for name, o := range p.objects {
		if strings.HasPrefix(name, prefix) {
			found = append(found, change{Name: name, Version: o.version})
		}
	}
	p.mu.Unlock()
	slices.SortFunc(found, func(a, b change) int { return strings.Compare(a.Name, b.Name) })
	backendapi.WriteJSON(w, http.StatusOK, map[string][]change{"objects": found})
}

func (p *Platform) handlePut(w http.ResponseWriter, r *http.Request) {
	p.updateCounts(func(c *Counts) { c.Put++ })
	name := mux.Vars(r)["name"]
	version, err := requiredVersion(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValue))
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		http.Error(w, "value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := p.Faults()
	if p.drawFault(f.LateRate) {
		p.putLate(name, version, value, time.Duration(f.LateMS)*time.Millisecond)
		netpartition.Reset(w)
		return
	}
	next, ok := p.put(name, version, value)
	if p.drawFault(f.LostAnswerRate) {
		p.updateCounts(func(c *Counts) { c.Lost++ })
		netpartition.Reset(w)
		return
	}
	if !ok {
		http.Error(w, "version conflict", http.StatusPreconditionFailed)
		return
	}
	w.Header().Set("ETag", etag(next))
}

// putLate applies a put after a delay; its response is lost. The version is checked when the put takes effect.
func (p *Platform) putLate(name string, version uint64, value []byte, after time.Duration) {
	p.updateCounts(func(c *Counts) { c.Lost++; c.Late++ })
	p.pendingPuts.Go(func() {
		timer := time.NewTimer(after)
		defer timer.Stop()
		select {
		case <-timer.C:
			p.put(name, version, value)
		case <-p.stop:
		}
	})
}

type watchResponse struct {
	Seq     uint64   `json:"seq"`
	Changes []change `json:"changes"`
	Gap     bool     `json:"gap,omitempty"`
}

func (p *Platform) handleWatch(w http.ResponseWriter, r *http.Request) {
	p.updateCounts(func(c *Counts) { c.Watch++ })
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "invalid value of \"after\"", http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(q.Get("wait"))
	if err != nil || wait < 0 {
		http.Error(w, "invalid value of \"wait\"", http.StatusBadRequest)
		return
	}
	if after == 0 {
		p.mu.Lock()
		seq := p.seq
		p.mu.Unlock()
		backendapi.WriteJSON(w, http.StatusOK, watchResponse{Seq: seq, Changes: []change{}})
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for {
		found, seq, gap, changed := p.changesAfter(q.Get("prefix"), after)
		if len(found) > 0 || gap {
			backendapi.WriteJSON(w, http.StatusOK, watchResponse{Seq: seq, Changes: append([]change{}, found...), Gap: gap})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			backendapi.WriteJSON(w, http.StatusOK, watchResponse{Seq: seq, Changes: []change{}})
			return
		case <-r.Context().Done():
			return
		case <-p.stop:
			netpartition.Reset(w)
			return
		}
	}
}

func (p *Platform) handleVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.counts.VMs++
	visibleUntil := time.Now().Add(-time.Duration(p.faults.VMLagMS) * time.Millisecond)
	list := []event.VM{}
	for _, v := range p.vmHistory {
		if !v.at.After(visibleUntil) {
			list = append([]event.VM{}, v.list...)
		}
	}
	p.mu.Unlock()
	backendapi.WriteJSON(w, http.StatusOK, map[string][]event.VM{"vms": list})
}

// registerControl registers the control endpoints, which rate limits and faults do not affect.
func (p *Platform) registerControl(r *mux.Router) {
	backendapi.RegisterControl(r, p.SetFaults, p.Faults, p.Counts)
	r.HandleFunc("/restore", func(w http.ResponseWriter, r *http.Request) {
		var c Copy
		if backendapi.ReadJSON(w, r, &c) {
			p.Restore(time.Duration(c.AgeMS) * time.Millisecond)
		}
	}).Methods(http.MethodPost)
	r.HandleFunc("/vms", func(w http.ResponseWriter, r *http.Request) {
		var list []event.VM
		if backendapi.ReadJSON(w, r, &list) {
			p.SetVMs(list)
		}
	}).Methods(http.MethodPost)
}

// requiredVersion returns the version that an object must have for a put; 0 means that it must not exist.
func requiredVersion(r *http.Request) (uint64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	text, err := strconv.Unquote(r.Header.Get("If-Match"))
	if err != nil {
		return 0, errors.New("put without a valid If-Match or If-None-Match: *")
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return 0, errors.New("invalid version in If-Match")
	}
	return version, nil
}

func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }
