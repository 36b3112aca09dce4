// Package experiment runs policies against the same arrivals and faults and compares them.
package experiment
