package node

import (
	"maps"
	"slices"

	"bluebellflow/core/canary"
	"bluebellflow/core/claim"
	"bluebellflow/core/config"
	"bluebellflow/core/domain"
	"bluebellflow/core/event"
	"bluebellflow/core/member"
	"bluebellflow/core/permit"
	"bluebellflow/core/quarantine"
	"bluebellflow/core/wire"
)

// Codec returns the codec for all messages between nodes. A number never changes its meaning, because nodes
// of two releases talk to each other while VMs are replaced.
func Codec() *wire.Codec { return wire.New(bodies) }

// Bodies returns an example of each message body.
func Bodies() []event.Body {
	var out []event.Body
	for _, kind := range slices.Sorted(maps.Keys(bodies)) {
		out = append(out, bodies[kind])
	}
	return out
}

// Commands returns an example of each operator command.
func Commands() []event.Event {
	return []event.Event{
		Status{}, Explain{}, IssueKeys{}, ReadConfig{}, config.Apply{}, domain.Drain{}, domain.Restore{}, canary.Begin{},
	}
}

var bodies = map[uint32]event.Body{
	1: member.Heartbeat{}, 2: member.Query{}, 3: member.Update{},
	10: config.Have{}, 11: config.Ask{}, 12: config.Offer{}, 13: config.Fetch{}, 14: config.Supply{},
	20: domain.Digest{}, 21: domain.Records{},
	30: claim.Acquire{}, 31: claim.Reply{}, 32: claim.Query{}, 33: claim.Outcome{}, 34: claim.Ack{},
	40: quarantine.Counts{}, 41: quarantine.RunRequest{}, 42: quarantine.RunReply{}, 43: quarantine.PromiseRequest{}, 44: quarantine.PromiseReply{}, 45: quarantine.Release{},
	50: permit.Need{}, 51: permit.Grant{}, 52: permit.State{}, 53: permit.Query{}, 54: permit.Holding{},
	60: canary.Gossip{}, 61: canary.RolloutsRequest{}, 62: canary.RolloutsReply{},
	70: StatusQuery{}, 71: StatusReply{},
}
