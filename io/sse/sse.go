package sse

import (
	"bytes"
	"fmt"
	"io"
)

// Event is one server-sent event.
type Event struct {
	Name string
	Data []byte
}

// Parser parses a byte stream into events. It buffers an incomplete event until the next chunk.
type Parser struct {
	maxSize int
	line    []byte
	name    string
	data    []byte
	hasData bool // the event has a data field, which may be empty
	lastCR  bool // the last byte was CR; an LF that follows belongs to the same line end
}

// NewParser returns a parser that fails on events larger than maxSize bytes.
func NewParser(maxSize int) *Parser { return &Parser{maxSize: maxSize} }

// Buffered returns the size of the buffers for an event that is not complete yet.
func (p *Parser) Buffered() int { return cap(p.line) + cap(p.data) }

// Feed parses a chunk of the stream and returns the events that it completes.
func (p *Parser) Feed(chunk []byte) ([]Event, error) {
	var out []Event
	for len(chunk) > 0 {
		if p.lastCR && chunk[0] == '\n' {
			p.lastCR = false
			chunk = chunk[1:]
			continue
		}
		p.lastCR = false
		at := bytes.IndexAny(chunk, "\r\n")
		if at < 0 {
			return out, p.appendLine(chunk)
		}
		if err := p.appendLine(chunk[:at]); err != nil {
			return out, err
		}
		p.lastCR = chunk[at] == '\r'
		chunk = chunk[at+1:]
		if ev, ok := p.endLine(); ok {
			out = append(out, ev)
		}
	}
	return out, nil
}

// appendLine adds bytes to the current line.
func (p *Parser) appendLine(part []byte) error {
	if len(p.line)+len(p.data)+len(part) > p.maxSize {
		return fmt.Errorf("server-sent event larger than %d bytes", p.maxSize)
	}
	p.line = append(p.line, part...)
	return nil
}

// endLine processes a complete line. An empty line completes an event, which is returned if it has a data field.
func (p *Parser) endLine() (Event, bool) {
	line := p.line
	p.line = p.line[:0]
	if len(line) == 0 {
		ev := Event{Name: p.name, Data: p.data}
		hasData := p.hasData
		p.name, p.data, p.hasData = "", nil, false
		return ev, hasData
	}
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "event":
		p.name = string(value)
	case "data":
		if p.hasData {
			p.data = append(p.data, '\n')
		}
		p.data = append(p.data, value...)
		p.hasData = true
	}
	return Event{}, false
}

// Write writes one event, with one data field for each line of data.
func Write(w io.Writer, name string, data []byte) error {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "event: %s\n", name)
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		buf.WriteString("data: ")
		buf.Write(line)
		buf.WriteByte('\n')
	}
	buf.WriteByte('\n')
	_, err := w.Write(buf.Bytes())
	return err
}
