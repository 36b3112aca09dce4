// Package placesim simulates the placement of requests at model servers, with many nodes and virtual time.
//
// It compares the choice by cost of package balance with the earlier choice by the number of requests, on the same arrivals, without
// a network and much faster than in real time.
package placesim
