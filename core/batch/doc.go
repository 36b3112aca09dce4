// Package batch schedules the stages that requests need before they reach a model.
//
// One node, the leader, schedules the pieces of all requests. A call to a stage server has a fixed cost regardless of the
// number of pieces in it, so calls are filled with pieces of many requests, and a piece is assigned to a server only when
// that server is free.
package batch
