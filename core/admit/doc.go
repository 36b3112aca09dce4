// Package admit implements admission control: it decides whether a request starts, waits or is refused, and in which
// order waiting requests start.
//
// Waiting requests are ordered by priority. Within a priority, each workspace and pipeline forms a flow, and the flows
// share the capacity by weighted fair queueing. A request is refused early if it would miss its deadline by estimate.
package admit
