package settings

import "time"

const (
	defaultStall  = 5 * time.Second
	defaultWrite  = 10 * time.Second
	maxCallerWait = time.Hour
	// defaultFields exceeds the 3,276 shortest fields that fit into 16,384 bytes of headers.
	defaultFields  = 4096
	maxFields      = 1_000_000
	maxDescriptors = 1 << 20
	maxConnections = 1 << 20
)

// Callers holds the limits of callers' connections that apply besides those of requests.
type Callers struct {
	Connections int           // at once, 0 for as many as memory and descriptors allow
	Stall       time.Duration // longest stop in a request body
	Write       time.Duration // for each 16 KiB of a response
	Fields      int           // header lines of a request
}

func defaultCallers() Callers {
	return Callers{Stall: defaultStall, Write: defaultWrite, Fields: defaultFields}
}

func (r *reader) callers(c *Callers, path string, m member) {
	for _, f := range r.object(path, m.value) {
		path := path + "." + f.key
		switch f.key {
		case "connections":
			c.Connections, _ = r.positiveInt(path, f.value, maxConnections)
		case "stall":
			c.Stall, _ = r.duration(path, f.value, time.Second, maxCallerWait)
		case "write":
			c.Write, _ = r.duration(path, f.value, time.Second, maxCallerWait)
		case "fields":
			c.Fields, _ = r.positiveInt(path, f.value, maxFields)
		default:
			r.reportUnknownKey(path, f)
		}
	}
}
