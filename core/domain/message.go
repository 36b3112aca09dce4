package domain

import "fmt"

// Digest sends a peer a hash of the sender's records. A peer with different records answers with Records.
type Digest struct {
	Hash  uint64 `protobuf:"varint,1,opt,name=hash"`
	Ready bool   `protobuf:"varint,2,opt,name=ready"` // as Domains.Ready of the sender
}

// Check accepts every digest.
func (Digest) Check() error { return nil }

// Records sends a peer records that it may not have.
type Records struct {
	List  []Record `protobuf:"bytes,1,rep,name=list"`
	Ready bool     `protobuf:"varint,2,opt,name=ready"`
	All   bool     `protobuf:"varint,3,opt,name=all"` // List is complete; the receiver answers with records missing in it
}

// Check returns an error if there are too many records or one of them is malformed.
func (r Records) Check() error {
	if len(r.List) > maxRecords {
		return fmt.Errorf("%d records, at most %d are allowed", len(r.List), maxRecords)
	}
	for _, record := range r.List {
		if err := record.Check(); err != nil {
			return err
		}
	}
	return nil
}
