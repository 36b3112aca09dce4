package service

import (
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Ledger counts the effects of a service.
type Ledger struct {
	mu     sync.Mutex
	byKey  map[string]int
	byBody map[uint64]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{byKey: map[string]int{}, byBody: map[uint64]int{}}
}

// add counts one effect.
func (l *Ledger) add(key string, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byKey[key]++
	l.byBody[xxhash.Sum64(body)]++
}

// Effects returns how often each key had its effect; requests without a key share the empty one.
func (l *Ledger) Effects() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.byKey)
}

// Effect returns how often the request with the given body had its effect.
func (l *Ledger) Effect(body []byte) int {
	return l.effectOf(xxhash.Sum64(body))
}

func (l *Ledger) effectOf(hash uint64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byBody[hash]
}

// Doubled returns the keys that had their effect more than once.
func (l *Ledger) Doubled() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var keys []string
	for key, n := range l.byKey {
		if key != "" && n > 1 {
			keys = append(keys, key)
		}
	}
	return keys
}
