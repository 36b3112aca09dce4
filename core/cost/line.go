package cost

const (
	// lineMemory is the weight of the earlier measurements when one is added, so that about the last 100 count.
	lineMemory = 0.99
	// priorWeight is the weight of each of the two points that a line goes through at first. It keeps the line from following the
	// noise of the first measurements, or of many that lie close together.
	priorWeight = 8
	// minSlopeShare and maxSlopeFactor bound the slope as multiples of the first one.
	minSlopeShare  = 0.25
	maxSlopeFactor = 16
)

// point is a measurement of y at x.
type point struct{ x, y float64 }

// line is a straight line through measurements, fitted by least squares. The newer a measurement is, the more it counts.
type line struct {
	prior   [2]point
	w, x, y float64 // sum of the weights, and weighted sums of the measurements
	xx, xy  float64 // and of their products
	base    float64 // y at 0
	slope   float64
}

// newLine returns the line through two points. They count at all times, so that the line is defined.
func newLine(a, b point) line {
	l := line{prior: [2]point{a, b}}
	l.fit()
	return l
}

// add adds a measurement.
func (l *line) add(p point) {
	l.w, l.x, l.y, l.xx, l.xy = lineMemory*l.w+1, lineMemory*l.x+p.x, lineMemory*l.y+p.y, lineMemory*l.xx+p.x*p.x, lineMemory*l.xy+p.x*p.y
	l.fit()
}

// fit computes the line, which rises and does not begin below zero.
func (l *line) fit() {
	w, x, y, xx, xy := l.w, l.x, l.y, l.xx, l.xy
	for _, p := range l.prior {
		w, x, y, xx, xy = w+priorWeight, x+priorWeight*p.x, y+priorWeight*p.y, xx+priorWeight*p.x*p.x, xy+priorWeight*p.x*p.y
	}
	first := (l.prior[1].y - l.prior[0].y) / (l.prior[1].x - l.prior[0].x)
	l.slope = min(maxSlopeFactor*first, max(minSlopeShare*first, (w*xy-x*y)/(w*xx-x*x)))
	l.base = max(0, (y-l.slope*x)/w)
}

// at returns the line's value at x.
func (l *line) at(x float64) float64 { return l.base + l.slope*x }
