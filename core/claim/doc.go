// Package claim makes requests with an idempotency key run at most once.
//
// A claim is committed before the request is dispatched: on the platform for a caller's own key, in the memory of
// the issuing process for a one-time key. Only the claimer named in a claim may dispatch the request, and only once.
package claim
