package proxy

import (
	"bluebellflow/core/event"
	"bluebellflow/core/watchcache"
)

// StoreEra reports the era of the platform's store, for metrics.
type StoreEra struct {
	event.Out
	Era     uint64
	Changes int // since the process knows the era
}

// stampEra sets the era in which the calls to the store were decided. The store's client does not send those of an earlier era.
func stampEra(out []event.Action, era uint64) {
	for i, a := range out {
		if call, ok := a.(event.PlatformCall); ok {
			call.Era = era
			out[i] = call
		}
	}
}

// reportEra reports the era if it has changed since the last report.
func (g *Gateway) reportEra(out *actions) {
	if now := (StoreEra{Era: g.cache.Era(), Changes: g.cache.EraChanges()}); now != g.reportedEra {
		g.reportedEra = now
		out.add(now)
	}
}

// newerConfig reports whether one configuration has a higher version than another, which may be missing or invalid.
func (g *Gateway) newerConfig(old, next watchcache.Object) bool {
	if next.Name != ConfigName {
		return false
	}
	n, err := g.decoder.Catalog(next.Spec)
	if err != nil {
		return false
	}
	o, err := g.decoder.Catalog(old.Spec)
	return err != nil || n.Version() > o.Version()
}
