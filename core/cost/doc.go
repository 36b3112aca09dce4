// Package cost estimates what a request costs a server before it runs, and what work a server still has.
//
// A request that carries token counts costs a server two things: the prompt tokens that it has to read, which delays all
// requests that run beside it, and the events that it sends, each of which takes longer the more requests run. A Model learns
// both rates for each pool, and the number of events by route, workspace and size. It records which prompt parts were sent to
// which server, so that a part that is cached is not counted again.
//
// The work of a server is what this node's attempts still have to do there, and what is known of the others: from the load that
// the server reports, and from the work that nodes report to each other. As this knowledge of the others ages, the estimate moves
// to the pool's mean. If a server takes longer than expected, its estimates are raised.
package cost
