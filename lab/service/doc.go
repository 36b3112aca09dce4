// Package service is a stand-in of a plain service such as loans, bookings or a ledger.
//
// The runners of one service share a Ledger that counts the effects by key; its counts are the oracle for at most once.
// The package reads the time through the time package only, so a test inside a synctest bubble controls its delays.
package service
