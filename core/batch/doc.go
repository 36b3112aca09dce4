// Package batch runs the stages that requests need before they reach a model.
//
// One node schedules the pieces of all requests, because a call to a stage server costs a fixed time whatever it
// holds: calls are filled with pieces of many requests, and a piece is bound to a server only when the server is free.
package batch
