package scalesim

import (
	"math"
	"time"
)

// Pattern is a load over time, with events that happen meanwhile.
type Pattern struct {
	Name   string
	Length time.Duration
	Rate   float64                     // requests per second
	Shape  func(time.Duration) float64 // multiplies Rate
	Events []Event
}

// Event is something that happens in a pattern.
type Event struct {
	At time.Duration
	Do func(*World)
}

const (
	// usualRate fills a third of the initial servers' slots, at which no server is given up, and busyRate about half.
	usualRate = 560
	busyRate  = 900
	// lowRate is low enough for the minimum number of servers.
	lowRate = 300
	// waveHeight is the amplitude of the load waves as a share of the mean, and wavePeriod their period.
	waveHeight = 0.27
	wavePeriod = 11 * time.Second
	// burstHeight is the load in a burst as a multiple of the load outside it, and burstTime the length of a burst.
	burstHeight = 1.7
	burstTime   = 5 * time.Second
)

func flat(time.Duration) float64 { return 1 }

// between returns a load that is higher between two times.
func between(from, to time.Duration, height float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= from && t < to {
			return height
		}
		return 1
	}
}

func wave(t time.Duration) float64 {
	return 1 + waveHeight*math.Sin(2*math.Pi*t.Seconds()/wavePeriod.Seconds())
}

// bursts returns a load with a burst once in every interval.
func bursts(every time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t%every >= every-burstTime {
			return burstHeight
		}
		return 1
	}
}

// outage makes the store and the service unreachable from one time to another.
func outage(from, to time.Duration) []Event {
	set := func(down bool) func(*World) {
		return func(w *World) { w.StoreDown, w.ServiceDown = down, down }
	}
	return []Event{{from, set(true)}, {to, set(false)}}
}

// Patterns returns all named patterns.
func Patterns() []Pattern {
	const minute = time.Minute
	return []Pattern{
		{Name: "step", Length: 8 * minute, Rate: usualRate, Shape: between(minute, 3*minute, 2.5)},
		{Name: "wave", Length: 5 * minute, Rate: usualRate, Shape: wave},
		{Name: "burst", Length: 5 * minute, Rate: usualRate, Shape: bursts(40 * time.Second)},
		{Name: "loss", Length: 6 * minute, Rate: busyRate, Shape: flat, Events: []Event{
			{minute, func(w *World) { w.crash("b", initial, 2*time.Minute) }},
		}},
		{Name: "spread-loss", Length: 6 * minute, Rate: busyRate, Shape: flat, Events: []Event{{minute, func(w *World) {
			for _, domain := range domains {
				w.crash(domain, initial/len(domains)+1, 2*time.Minute)
			}
		}}}},
		{Name: "evacuation", Length: 5 * minute, Rate: busyRate, Shape: flat, Events: []Event{
			{minute, func(w *World) { w.evacuated.Add("c") }},
			{3 * minute, func(w *World) { w.evacuated.Delete("c") }},
		}},
		{Name: "outage", Length: 5 * minute, Rate: usualRate, Shape: between(minute, 5*minute, 2.5), Events: outage(minute+2*time.Second, minute+32*time.Second)},
		{Name: "takeover", Length: 5 * minute, Rate: usualRate, Shape: between(minute, 5*minute, 2.5), Events: []Event{
			{minute + 20*time.Second, (*World).KillLeader},
			{minute + 60*time.Second, (*World).KillLeader},
		}},
		{Name: "silence", Length: 5 * minute, Rate: usualRate, Shape: flat, Events: []Event{
			{minute, func(w *World) { w.LostReports = 0.6 }},
			{3 * minute, func(w *World) { w.LostReports = 0 }},
		}},
		{Name: "low", Length: 8 * minute, Rate: lowRate, Shape: wave},
	}
}
