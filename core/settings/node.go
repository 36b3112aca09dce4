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

// Node holds the settings of one node process.
type Node struct {
	Name          id.Node
	FailureDomain id.FailureDomain
	Region        id.Region
	Peer          netip.AddrPort // listen address for other nodes
	Caller        netip.AddrPort // listen address for callers
	Admin         netip.AddrPort // listen address for operators
	Platform      netip.AddrPort // address of the platform's object API
	Limits        Limits
	Callers       Callers
	TLS           *TLS // nil for plain TCP between nodes
}

// TLS names the PEM files for mutual TLS between nodes. The certificate has the node's name as a DNS name.
type TLS struct {
	Certificate string
	Key         string
	CA          string
}

// Limits bounds the resources of one process.
type Limits struct {
	Body  int           // maximum size of a request body, in bytes
	Open  int           // maximum number of open requests
	Grace time.Duration // longest wait for open requests on shutdown
	// Memory is the memory of the VM in megabytes, 0 if it is not named.
	Memory int
	// Descriptors is the number of descriptors that the process may open, 0 for its limit.
	Descriptors int
}

// NewNode returns settings with the default limits.
func NewNode() *Node {
	return &Node{Limits: Limits{Body: defaultBodyBytes, Open: defaultOpenRequests, Grace: defaultGrace}, Callers: defaultCallers()}
}

// ParseNode parses the settings of one node process. The error is a Findings with all errors found.
func ParseNode(name string, src []byte) (*Node, error) {
	n := NewNode()
	r, root, ok := newReader(name, src)
	if !ok {
		return nil, r.findings.err()
	}
	seen := id.NewSet[string]()
	addrs := map[netip.AddrPort]string{}
	for _, m := range r.object("node", root) {
		seen.Add(m.key)
		r.nodeMember(n, m, addrs)
	}
	if _, isObject := root.Value.(*hujson.Object); isObject {
		for _, key := range []string{"name", "domain", "region", "peer", "caller", "admin", "platform"} {
			if !seen.Has(key) {
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
	path := "node." + m.key
	addr := func(dst *netip.AddrPort) {
		*dst = r.addr(path, m.value)
		if other, duplicate := addrs[*dst]; duplicate && dst.IsValid() {
			r.report(m.value.StartOffset, "%s: same address as %s", path, other)
		}
		addrs[*dst] = m.key
	}
	switch m.key {
	case "name":
		n.Name = id.Node(r.name(path, m.value))
	case "domain":
		n.FailureDomain = id.FailureDomain(r.name(path, m.value))
	case "region":
		n.Region = id.Region(r.name(path, m.value))
	case "peer":
		addr(&n.Peer)
		// Other nodes connect to this address, so it must not be a wildcard.
		if n.Peer.IsValid() && n.Peer.Addr().IsUnspecified() {
			r.report(m.value.StartOffset, "%s: other nodes cannot connect to %s", path, n.Peer)
		}
	case "caller":
		addr(&n.Caller)
	case "admin":
		addr(&n.Admin)
	case "platform":
		addr(&n.Platform)
	case "limits":
		r.limits(&n.Limits, m)
	case "callers":
		r.callers(&n.Callers, path, m)
	case "tls":
		n.TLS = r.tls(m)
	default:
		r.reportUnknownKey("node", m)
	}
}

func (r *reader) limits(l *Limits, m member) {
	for _, f := range r.object("node.limits", m.value) {
		path := "node.limits." + f.key
		switch f.key {
		case "body":
			l.Body, _ = r.positiveInt(path, f.value, maxBodyBytes)
		case "open":
			l.Open, _ = r.positiveInt(path, f.value, maxOpenRequests)
		case "memory":
			l.Memory, _ = r.positiveInt(path, f.value, maxMemoryMB)
		case "descriptors":
			l.Descriptors, _ = r.positiveInt(path, f.value, maxDescriptors)
		case "grace":
			l.Grace, _ = r.duration(path, f.value, 0, maxGrace)
		default:
			r.reportUnknownKey("node.limits", f)
		}
	}
}

// tls reads the file paths. The files themselves are only opened when the node starts.
func (r *reader) tls(m member) *TLS {
	t := &TLS{}
	for _, f := range r.object("node.tls", m.value) {
		path := "node.tls." + f.key
		switch f.key {
		case "certificate":
			t.Certificate = r.filePath(path, f.value)
		case "key":
			t.Key = r.filePath(path, f.value)
		case "ca":
			t.CA = r.filePath(path, f.value)
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

func (r *reader) filePath(path string, v hujson.Value) string {
	s := r.stringValue(path, v)
	if lit, ok := v.Value.(hujson.Literal); ok && lit.Kind() == '"' && s == "" {
		r.report(v.StartOffset, "%s: want the path of a PEM file", path)
	}
	return s
}
