// Package claim makes requests with an idempotency key run at most once.
//
// A claim is committed before the request is dispatched: on the platform for a caller's own key, in the memory of
// the issuing process for a one-time key. Only the claimer named in a claim may dispatch the request, and only once.
//
// The claims on callers' own keys are spread over shards, each stored in one object. Nodes send their claims to the
// preferred writer of the shard, which commits many of them in one update. A node whose writer does not answer updates
// the object itself.
package claim
