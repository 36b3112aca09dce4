// Package claim lets a request with an idempotency key run at most once.
//
// A claim is committed before the dispatch: on the platform for a caller's own key, in the memory of
// the issuing incarnation for a one-time key. Only the claimer that a claim names may dispatch, once.
package claim
