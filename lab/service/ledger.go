package service

import (
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// EffectLog counts the effects of a service.
type EffectLog struct {
	mu     sync.Mutex
	byKey  map[string]int
	byBody map[uint64]int
}

// NewEffectLog returns an empty ledger.
func NewEffectLog() *EffectLog {
	return &EffectLog{byKey: map[string]int{}, byBody: map[uint64]int{}}
}

// add counts one effect.
func (l *EffectLog) add(key string, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byKey[key]++
	l.byBody[xxhash.Sum64(body)]++
}

// Effects returns how often each key had its effect; requests without a key share the empty one.
func (l *EffectLog) Effects() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.byKey)
}

// EffectCount returns how often the request with the given body had its effect.
func (l *EffectLog) EffectCount(body []byte) int {
	return l.countByHash(xxhash.Sum64(body))
}

func (l *EffectLog) countByHash(hash uint64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byBody[hash]
}

// DuplicateKeys returns the keys that had their effect more than once.
func (l *EffectLog) DuplicateKeys() []string {
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
