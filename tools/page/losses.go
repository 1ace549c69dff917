package page

import (
	"fmt"
	"html/template"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"flamingohall.example/tools/losses"
)

// Losses writes the page of a report on jobs that were not served in time.
func Losses(out io.Writer, report *losses.Report) error {
	doc := document{
		Title: "Jobs that were not served in time",
		Notes: append([]string{
			"From " + report.From.UTC().Format(time.RFC3339) + " to " + report.Until.UTC().Format(time.RFC3339) + ".",
		}, report.Gaps...),
	}
	causes := section{Heading: "Causes", Head: []string{"Cause", "Jobs", "Core-seconds", "Share of all work"}}
	for _, c := range report.Causes {
		causes.Rows = append(causes.Rows, []string{c.Name, fmt.Sprint(c.Jobs), fmt.Sprintf("%.1f", c.CoreSeconds), fmt.Sprintf("%.4f", c.Share)})
	}
	windows := section{Heading: "Windows"}
	chart, err := lossesPlot(report)
	if err != nil {
		return err
	}
	windows.Plots = []template.HTML{chart}
	doc.Sections = append(doc.Sections, causes, windows)
	for _, t := range []struct {
		heading string
		tallies []losses.Tally
	}{{"By window", report.Windows}, {"By queue", report.Queues}, {"By entry", report.Entries}, {"By worker", report.Workers}} {
		doc.Sections = append(doc.Sections, tallySection(t.heading, t.tallies))
	}
	return doc.write(out)
}

func tallySection(heading string, tallies []losses.Tally) section {
	table := section{Heading: heading, Head: []string{"", "Asked", "In time", "Planned", "Late", "Refused", "Given up", "Failed", "Utilisation"}}
	for i := range tallies {
		t := &tallies[i]
		row := []string{t.Name}
		for _, count := range []int{t.Asked, t.InTime, t.Planned, t.Late, t.Refused, t.GivenUp, t.Failed} {
			row = append(row, fmt.Sprint(count))
		}
		table.Rows = append(table.Rows, append(row, fmt.Sprintf("%.2f", t.Utilisation)))
	}
	return table
}

// lossesPlot draws the shares of the jobs of each window that were served in time, late, and planned in time.
func lossesPlot(report *losses.Report) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text, p.Y.Min, p.Y.Max = "window", "share of the jobs", 0, 1
	for i, line := range []struct {
		name  string
		count func(t *losses.Tally) int
	}{
		{"in time", func(t *losses.Tally) int { return t.InTime }},
		{"late", func(t *losses.Tally) int { return t.Late }},
		{"planned in time", func(t *losses.Tally) int { return t.Planned }},
	} {
		points := make(plotter.XYs, len(report.Windows))
		for n := range report.Windows {
			points[n].X = float64(n)
			points[n].Y = float64(line.count(&report.Windows[n])) / float64(max(1, report.Windows[n].Asked))
		}
		drawn, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		drawn.Color = lineColours[i%len(lineColours)]
		p.Add(drawn)
		p.Legend.Add(line.name, drawn)
	}
	return inline(p)
}
