package experiment

import (
	"path/filepath"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth    = 5.5 * vg.Inch // small, since the plots are committed to the repository
	plotHeight   = 3.2 * vg.Inch
	legendFactor = 6 // factor by which a logarithmic axis is extended for the legend
)

// series is a labelled line of a plot.
type series struct {
	label  string
	points plotter.XYs
}

// writePlots writes the plots of a study to the directory, in files named
// "<deployment>-<name>.png".
func writePlots(directory string, s *study) error {
	path := func(name string) string { return filepath.Join(directory, s.name+"-"+name+".png") }
	if err := drawLines(path("latency-by-load"), "p95 of program latency", "load", "seconds (log)", true, s.latencyByLoad()); err != nil {
		return err
	}
	latencies := s.distributions(func(m *measures) *hdrhistogram.Histogram { return m.programs })
	if err := drawLines(path("latency"), "Program latency at the reported load", "seconds (log)", "share of programs", false, latencies); err != nil {
		return err
	}
	firsts := s.distributions(func(m *measures) *hdrhistogram.Histogram { return m.firstToken })
	if err := drawLines(path("first-token"), "Time to first token at the reported load", "seconds (log)", "share of calls", false, firsts); err != nil {
		return err
	}
	return drawWaste(path("waste"), s)
}

// latencyByLoad returns, for each strategy, the p95 of program latency in seconds
// (Y) at each load (X).
func (s *study) latencyByLoad() []series {
	var lines []series
	for _, strategy := range Strategies() {
		line := series{label: string(strategy)}
		for _, t := range s.sweep {
			if t.strategy == strategy {
				line.points = append(line.points, plotter.XY{X: t.load, Y: p95(t.measures.programs)})
			}
		}
		lines = append(lines, line)
	}
	return lines
}

// distributions returns, for each strategy, the cumulative distribution of the
// histogram that pick selects at the reported load: the fraction of values (Y) up
// to a number of seconds (X).
func (s *study) distributions(pick func(m *measures) *hdrhistogram.Histogram) []series {
	var lines []series
	for _, strategy := range Strategies() {
		histogram := pick(s.findTrial(strategy, s.reportedLoad).measures)
		line := series{label: string(strategy)}
		for percent := 1; percent <= 99; percent++ {
			line.points = append(line.points, plotter.XY{X: quantile(histogram, float64(percent)), Y: float64(percent) / 100})
		}
		lines = append(lines, line)
	}
	return lines
}

// drawLines writes a plot of the lines to the path. The Y axis is logarithmic if
// logY is set, otherwise the X axis is.
func drawLines(path, title, xLabel, yLabel string, logY bool, lines []series) error {
	chart := plot.New()
	chart.Title.Text = title
	chart.X.Label.Text = xLabel
	chart.Y.Label.Text = yLabel
	logarithmic := &chart.X
	if logY {
		logarithmic = &chart.Y
	}
	logarithmic.Scale = plot.LogScale{}
	logarithmic.Tick.Marker = plot.LogTicks{Prec: -1}
	for index, line := range lines {
		drawnLine, err := plotter.NewLine(line.points)
		if err != nil {
			return eris.Wrapf(err, "experiment: draw %s", path)
		}
		drawnLine.Color = plotutil.Color(index)
		drawnLine.Width = vg.Points(1.5)
		drawnLine.Dashes = plotutil.Dashes(index % 3)
		chart.Add(drawnLine)
		chart.Legend.Add(line.label, drawnLine)
	}
	chart.Legend.Top = logY
	chart.Legend.Left = logY
	if logY {
		chart.Y.Max *= legendFactor
	}
	return eris.Wrapf(chart.Save(plotWidth, plotHeight, path), "experiment: save %s", path)
}

// drawWaste writes a bar chart of the wasted prompt tokens at the reported load.
func drawWaste(path string, s *study) error {
	chart := plot.New()
	chart.Title.Text = "Wasted prompt tokens at the reported load"
	chart.Y.Label.Text = "millions"
	var values plotter.Values
	var names []string
	for _, strategy := range Strategies() {
		values = append(values, millions(s.findTrial(strategy, s.reportedLoad).measures.wastedTokens))
		names = append(names, string(strategy))
	}
	bars, err := plotter.NewBarChart(values, vg.Points(28))
	if err != nil {
		return eris.Wrapf(err, "experiment: draw %s", path)
	}
	bars.Color = plotutil.Color(0)
	chart.Add(bars)
	chart.NominalX(names...)
	chart.Y.Min = 0
	return eris.Wrapf(chart.Save(plotWidth, plotHeight, path), "experiment: save %s", path)
}
