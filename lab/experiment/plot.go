package experiment

import (
	"fmt"
	"image/color"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"bluebellflow/core/id"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot writes the plots of a record as SVG into a directory and returns their paths.
func (r Record) Plot(dir string) ([]string, error) {
	var paths []string
	save := func(name string, p *plot.Plot) error {
		path := filepath.Join(dir, r.Experiment.Name+"-"+name+".svg")
		if err := p.Save(plotWidth, plotHeight, path); err != nil {
			return fmt.Errorf("plot %s: %w", path, err)
		}
		paths = append(paths, path)
		return nil
	}
	attainment, err := r.attainmentPlot()
	if err != nil {
		return nil, err
	}
	if err := save("attainment", attainment); err != nil {
		return paths, err
	}
	latency, err := r.latencyPlot()
	if err != nil {
		return paths, err
	}
	if err := save("latency", latency); err != nil {
		return paths, err
	}
	if r.hasDrainOrCut() {
		p, err := r.domainPlot()
		if err != nil {
			return paths, err
		}
		if err := save("domains", p); err != nil {
			return paths, err
		}
	}
	for _, pool := range r.pools() {
		if len(r.versions(pool)) == 0 {
			continue
		}
		p, err := r.versionPlot(pool)
		if err != nil {
			return paths, err
		}
		if err := save("versions-"+string(pool), p); err != nil {
			return paths, err
		}
	}
	return paths, nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Legend.Top = false
	p.Add(plotter.NewGrid())
	return p
}

// addLine adds a line in the colour of its index.
func addLine(p *plot.Plot, name string, i int, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("plot %s: %w", name, err)
	}
	l.Color = plotutil.Color(i)
	l.Width = vg.Points(1.5)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// attainmentPlot plots the attainment by second, as the mean over the repeats.
func (r Record) attainmentPlot() (*plot.Plot, error) {
	p := newPlot(r.Experiment.Name+": whole answers in time", "planned time in s", "share")
	p.Y.Min, p.Y.Max = 0, 1
	for i, policy := range r.policies() {
		runs := r.runsOf(policy)
		var points plotter.XYs
		for s := range runs[0].AttainmentBySecond {
			sum, n := 0.0, 0
			for _, run := range runs {
				if s < len(run.AttainmentBySecond) && run.AttainmentBySecond[s] >= 0 {
					sum += run.AttainmentBySecond[s]
					n++
				}
			}
			if n > 0 {
				points = append(points, plotter.XY{X: float64(s), Y: sum / float64(n)})
			}
		}
		if err := addLine(p, policy, i, points); err != nil {
			return nil, err
		}
	}
	for _, f := range r.Experiment.Faults {
		if err := addFaultMark(p, float64(f.At)); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// addFaultMark draws the time of a fault.
func addFaultMark(p *plot.Plot, at float64) error {
	l, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: 1}})
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	l.Color = color.Gray{Y: 160}
	l.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
	p.Add(l)
	return nil
}

// latencyPlot plots the latency of whole answers by quantile, as the mean over the repeats.
func (r Record) latencyPlot() (*plot.Plot, error) {
	p := newPlot(r.Experiment.Name+": latency of whole answers", "quantile", "ms")
	p.Y.Min = 0
	for i, policy := range r.policies() {
		runs := r.runsOf(policy)
		var points plotter.XYs
		for k, q := range curveQuantiles {
			sum, n := 0.0, 0
			for _, run := range runs {
				if k < len(run.LatencyQuantiles) {
					sum += run.LatencyQuantiles[k]
					n++
				}
			}
			if n > 0 {
				points = append(points, plotter.XY{X: q, Y: sum / float64(n)})
			}
		}
		if err := addLine(p, policy, i, points); err != nil {
			return nil, err
		}
	}
	p.Legend.Left = true
	p.Legend.Top = true
	return p, nil
}

// versionPlot plots the share of each version of a pool by time, of the first run of each policy.
func (r Record) versionPlot(pool id.Pool) (*plot.Plot, error) {
	p := newPlot(fmt.Sprintf("%s: versions of %s", r.Experiment.Name, pool), "time in s", "share of the attempts")
	p.Y.Min, p.Y.Max = 0, 1
	i := 0
	for _, policy := range r.policies() {
		at, byVersion := versionShares(r.runsOf(policy)[0].Samples, pool)
		for _, v := range r.versions(pool) {
			var points plotter.XYs
			for k, y := range byVersion[v] {
				points = append(points, plotter.XY{X: at[k], Y: y})
			}
			if err := addLine(p, policy+" "+v, i, points); err != nil {
				return nil, err
			}
			i++
		}
	}
	return p, nil
}

// hasDrainOrCut reports whether a domain was taken out of service, by operators or by a cut.
func (r Record) hasDrainOrCut() bool {
	return slices.ContainsFunc(r.Experiment.Faults, func(f Fault) bool {
		return f.Kind == Cut || (f.Kind == AdminCall && strings.HasSuffix(f.Path, "/drain"))
	})
}

// domainPlot plots the share of each failure domain of the attempts by second, of the first run of each policy.
func (r Record) domainPlot() (*plot.Plot, error) {
	p := newPlot(r.Experiment.Name+": failure domains", "time in s", "share of the attempts")
	p.Y.Min, p.Y.Max = 0, 1
	i := 0
	for _, policy := range r.policies() {
		samples := r.runsOf(policy)[0].Samples
		if len(samples) == 0 {
			continue
		}
		const step = int(time.Second / sampleInterval)
		for _, d := range slices.Sorted(maps.Keys(samples[0].Domains)) {
			var points plotter.XYs
			for k := step; k < len(samples) && samples[k].At <= float64(r.Experiment.Load.Seconds); k += step {
				points = append(points, plotter.XY{X: samples[k].At, Y: domainShare(samples[k-step], samples[k], d)})
			}
			if err := addLine(p, policy+" "+string(d), i, points); err != nil {
				return nil, err
			}
			i++
		}
	}
	for _, f := range r.Experiment.Faults {
		if err := addFaultMark(p, float64(f.At)); err != nil {
			return nil, err
		}
	}
	return p, nil
}
