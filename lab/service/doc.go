// Package service simulates a conventional service such as loans, bookings or a ledger.
//
// The servers of one service share an EffectLog that counts the effects by key. These counts are the oracle for
// at-most-once execution. Time comes only from the time package, so tests in a synctest bubble control the delays.
package service
