package settings

import (
	"net/netip"
	"time"

	"github.com/tailscale/hujson"

	"bluebellflow/core/id"
)

const (
	defaultBodyBytes    = 1 << 20
	maxBodyBytes        = 64 << 20
	defaultOpenRequests = 4096
	maxOpenRequests     = 1_000_000
	defaultGrace        = 30 * time.Second
	maxGrace            = time.Hour
)

// Node holds the settings of one process.
type Node struct {
	Name          id.Node
	FailureDomain id.FailureDomain
	Region        id.Region
	Peer          netip.AddrPort // address for other nodes
	Caller        netip.AddrPort // address for callers
	Admin         netip.AddrPort // address for operators
	Platform      netip.AddrPort // address of the platform's object API
	Limits        Limits
	TLS           *TLS // nil for plain TCP between nodes
}

// TLS names the PEM files for mutual TLS between nodes. The certificate has the node's name as a DNS name.
type TLS struct {
	Certificate string
	Key         string
	CA          string
}

// Limits bound the resources of one process.
type Limits struct {
	Body  int           // bytes of a request body
	Open  int           // requests open at once
	Grace time.Duration // longest wait for open requests at a stop
}

// ParseNode reads the settings of one process. The error holds all Findings.
func ParseNode(name string, src []byte) (*Node, error) {
	n := &Node{Limits: Limits{Body: defaultBodyBytes, Open: defaultOpenRequests, Grace: defaultGrace}}
	r, root, ok := newReader(name, src)
	if !ok {
		return nil, r.findings.err()
	}
	given := id.NewSet[string]()
	addrs := map[netip.AddrPort]string{}
	for _, m := range r.object("node", root) {
		given.Add(m.key)
		r.nodeMember(n, m, addrs)
	}
	if _, isObject := root.Value.(*hujson.Object); isObject {
		for _, key := range []string{"name", "domain", "region", "peer", "caller", "admin", "platform"} {
			if !given.Has(key) {
				r.report(root.StartOffset, "node: %s is required", key)
			}
		}
	}
	if err := r.findings.err(); err != nil {
		return nil, err
	}
	return n, nil
}

func (r *reader) nodeMember(n *Node, m member, addrs map[netip.AddrPort]string) {
	what := "node." + m.key
	addr := func(into *netip.AddrPort) {
		*into = r.addr(what, m.value)
		if other, twice := addrs[*into]; twice && into.IsValid() {
			r.report(m.value.StartOffset, "%s: same address as %s", what, other)
		}
		addrs[*into] = m.key
	}
	switch m.key {
	case "name":
		n.Name = id.Node(r.name(what, m.value))
	case "domain":
		n.FailureDomain = id.FailureDomain(r.name(what, m.value))
	case "region":
		n.Region = id.Region(r.name(what, m.value))
	case "peer":
		addr(&n.Peer)
		// Other nodes connect to this address, so it has to name one machine.
		if n.Peer.IsValid() && n.Peer.Addr().IsUnspecified() {
			r.report(m.value.StartOffset, "%s: other nodes cannot connect to %s", what, n.Peer)
		}
	case "caller":
		addr(&n.Caller)
	case "admin":
		addr(&n.Admin)
	case "platform":
		addr(&n.Platform)
	case "limits":
		r.limits(&n.Limits, m)
	case "tls":
		n.TLS = r.tls(m)
	default:
		r.reportUnknownKey("node", m)
	}
}

func (r *reader) limits(l *Limits, m member) {
	for _, f := range r.object("node.limits", m.value) {
		what := "node.limits." + f.key
		switch f.key {
		case "body":
			l.Body, _ = r.positiveInt(what, f.value, maxBodyBytes)
		case "open":
			l.Open, _ = r.positiveInt(what, f.value, maxOpenRequests)
		case "grace":
			l.Grace, _ = r.duration(what, f.value, 0, maxGrace)
		default:
			r.reportUnknownKey("node.limits", f)
		}
	}
}

// tls reads the paths of the files; whether they can be read shows when the node starts.
func (r *reader) tls(m member) *TLS {
	t := &TLS{}
	for _, f := range r.object("node.tls", m.value) {
		what := "node.tls." + f.key
		switch f.key {
		case "certificate":
			t.Certificate = r.filePath(what, f.value)
		case "key":
			t.Key = r.filePath(what, f.value)
		case "ca":
			t.CA = r.filePath(what, f.value)
		default:
			r.reportUnknownKey("node.tls", f)
		}
	}
	for _, key := range []string{"certificate", "key", "ca"} {
		if !hasKey(m.value, key) {
			r.report(m.offset, "node.tls: %s is required", key)
		}
	}
	return t
}

func (r *reader) filePath(what string, v hujson.Value) string {
	s := r.stringValue(what, v)
	if lit, ok := v.Value.(hujson.Literal); ok && lit.Kind() == '"' && s == "" {
		r.report(v.StartOffset, "%s: want the path of a PEM file", what)
	}
	return s
}
