package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"bluebellflow/core/id"
	"bluebellflow/core/settings"
)

const (
	headName   = "config/head"
	partPrefix = "config/part/"
	// keptChanges is how many of the latest change IDs the head keeps. A node whose update had an unknown outcome reads
	// them back within seconds, during which far fewer changes are made.
	keptChanges = 128
)

// AcceptedChange names an accepted change and the revision that it created.
type AcceptedChange struct {
	ID       string      `json:"id"`
	Revision id.Revision `json:"revision"`
}

// Head is the platform object whose update accepts a configuration change.
type Head struct {
	Revision id.Revision       `json:"revision"`
	Parts    map[string]string `json:"parts"`   // digest of each part by name
	Changes  []AcceptedChange  `json:"changes"` // the latest changes, oldest first
}

func decodeHead(raw []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(raw, &h); err != nil {
		return Head{}, fmt.Errorf("decode head: %w", err)
	}
	if h.Revision == 0 {
		return Head{}, errors.New("decode head: no revision")
	}
	for name, digest := range h.Parts {
		if err := settings.CheckPartName(name); err != nil {
			return Head{}, fmt.Errorf("decode head: %w", err)
		}
		if err := settings.CheckDigest(digest); err != nil {
			return Head{}, fmt.Errorf("decode head: part %s: %w", name, err)
		}
	}
	return h, nil
}

// revisionOf returns the revision that a change created, if the head still lists the change.
func (h Head) revisionOf(change string) (id.Revision, bool) {
	i := slices.IndexFunc(h.Changes, func(c AcceptedChange) bool { return c.ID == change })
	if i < 0 {
		return 0, false
	}
	return h.Changes[i].Revision, true
}

// covers reports whether the head lists every change made after the given revision.
func (h Head) covers(base id.Revision) bool {
	return h.Revision <= base || (len(h.Changes) > 0 && h.Changes[0].Revision <= base+1)
}
