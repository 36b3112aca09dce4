// Package experiment runs several policies with the same arrivals and faults and compares their results.
package experiment
