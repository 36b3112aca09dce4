package proxy

import (
	"bluebellflow/core/autoscale"
	"bluebellflow/core/batch"
	"bluebellflow/core/denylist"
	"bluebellflow/core/event"
	"bluebellflow/core/leader"
	"bluebellflow/core/loadshare"
	"bluebellflow/core/rollout"
	"bluebellflow/core/selfreport"
	"bluebellflow/core/usage"
	"bluebellflow/core/watchcache"
	"bluebellflow/core/wire"
)

// Codec returns the codec for all messages between gateway nodes. Message numbers are never reused, because nodes of two
// releases talk to each other while VMs are replaced.
func Codec() *wire.Codec {
	return wire.New(map[uint32]event.Body{
		60: leader.Ping{}, 61: leader.Pong{},
		65: watchcache.KnownRevisions{}, 66: watchcache.ChangeSet{}, 67: watchcache.PollReply{},
		70: batch.Submit{}, 71: batch.Done{}, 72: batch.Failed{}, 73: batch.Release{}, 74: batch.Moved{},
		80: rollout.Report{}, 81: rollout.Decisions{}, 82: denylist.Crash{},
		83: denylist.Broken{}, 84: denylist.Ended{}, 85: denylist.Responded{},
		86: denylist.Trial{}, 87: denylist.Refused{}, 88: selfreport.Shared{},
		90: usage.Counts{}, 91: usage.Ack{},
		95:  autoscale.Demand{},
		100: loadshare.Digest{},
	})
}
