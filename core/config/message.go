package config

import (
	"fmt"

	"bluebellflow/core/id"
	"bluebellflow/core/settings"
)

const (
	// maxFetchParts is the maximum number of parts in one Fetch or Supply.
	maxFetchParts = 64
	// maxSupplyBytes limits the size of the parts in one Supply. A larger part is sent in a message of its own.
	maxSupplyBytes = 512 << 10
	// maxValueSize is the platform's size limit for a value.
	maxValueSize = 1 << 20
)

// Have tells a peer the revision in force on the sender.
type Have struct {
	Revision id.Revision `protobuf:"varint,1,opt,name=revision"`
}

// Check accepts every revision.
func (Have) Check() error { return nil }

// Ask requests the head if its revision is newer than Known.
type Ask struct {
	Known id.Revision `protobuf:"varint,1,opt,name=known"`
}

// Check accepts every revision.
func (Ask) Check() error { return nil }

// Offer answers Ask with the head object as it is stored on the platform.
type Offer struct {
	Head []byte `protobuf:"bytes,1,opt,name=head"`
}

// Check returns an error if the head is too large or malformed.
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

// Check returns an error if the number of digests is out of range or a digest is malformed.
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

// Supply answers Fetch with as many of the parts as fit. The receiver identifies the parts by computing their digests.
type Supply struct {
	Parts [][]byte `protobuf:"bytes,1,rep,name=parts"`
}

// Check returns an error if there are too many parts or a part is too large.
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
