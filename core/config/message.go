package config

import (
	"fmt"

	"bluebellflow/core/id"
	"bluebellflow/core/settings"
)

const (
	// maxFetchParts bounds the parts asked for in one message.
	maxFetchParts = 64
	// maxSupplyBytes bounds the bytes of the parts in one message; a single larger part is still sent alone.
	maxSupplyBytes = 512 << 10
	// maxValueSize is the size limit of a value on the platform.
	maxValueSize = 1 << 20
)

// Have tells a peer which revision is in force here.
type Have struct {
	Revision id.Revision `protobuf:"varint,1,opt,name=revision"`
}

// Check accepts every revision.
func (Have) Check() error { return nil }

// Ask requests the head if it is newer than the given revision.
type Ask struct {
	Known id.Revision `protobuf:"varint,1,opt,name=known"`
}

// Check accepts every revision.
func (Ask) Check() error { return nil }

// Offer answers Ask with the head object as stored on the platform.
type Offer struct {
	Head []byte `protobuf:"bytes,1,opt,name=head"`
}

// Check reports whether the head is well formed.
func (o Offer) Check() error {
	if len(o.Head) > maxValueSize {
		return fmt.Errorf("head has %d bytes, at most %d are allowed", len(o.Head), maxValueSize)
	}
	_, err := decodeHead(o.Head)
	return err
}

// Fetch requests parts by digest.
type Fetch struct {
	Digests []string `protobuf:"bytes,1,rep,name=digests"`
}

// Check bounds the number of parts and checks their digests.
func (f Fetch) Check() error {
	if len(f.Digests) == 0 || len(f.Digests) > maxFetchParts {
		return fmt.Errorf("%d digests, want 1 to %d", len(f.Digests), maxFetchParts)
	}
	for _, d := range f.Digests {
		if err := settings.CheckDigest(d); err != nil {
			return err
		}
	}
	return nil
}

// Supply answers Fetch with as many of the parts as fit; the receiver computes their digests.
type Supply struct {
	Parts [][]byte `protobuf:"bytes,1,rep,name=parts"`
}

// Check bounds the number of parts and their size.
func (s Supply) Check() error {
	if len(s.Parts) > maxFetchParts {
		return fmt.Errorf("%d parts, at most %d are allowed", len(s.Parts), maxFetchParts)
	}
	for _, p := range s.Parts {
		if len(p) > maxValueSize {
			return fmt.Errorf("part has %d bytes, at most %d are allowed", len(p), maxValueSize)
		}
	}
	return nil
}
