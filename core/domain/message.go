package domain

import "fmt"

// Digest tells a peer which records are known here; a peer that knows others answers with Records.
type Digest struct {
	Hash  uint64 `protobuf:"varint,1,opt,name=hash"`
	Ready bool   `protobuf:"varint,2,opt,name=ready"` // the sender has heard from the platform or from a node that has
}

// Check accepts every sum.
func (Digest) Check() error { return nil }

// Records tells a peer records that it may not have.
type Records struct {
	List  []Record `protobuf:"bytes,1,rep,name=list"`
	Ready bool     `protobuf:"varint,2,opt,name=ready"`
	All   bool     `protobuf:"varint,3,opt,name=all"` // the sender has no other records, so the receiver answers with those
}

// Check bounds the number of records and checks each of them.
func (r Records) Check() error {
	if len(r.List) > maxRecords {
		return fmt.Errorf("%d records, at most %d are allowed", len(r.List), maxRecords)
	}
	for _, one := range r.List {
		if err := one.Check(); err != nil {
			return err
		}
	}
	return nil
}
