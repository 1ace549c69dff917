package page

import (
	"fmt"
	"html/template"
	"image/color"
	"io"
	"time"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"flamingohall.example/core/burn"
)

var (
	goodColour = color.RGBA{R: 0x2a, G: 0x7f, B: 0x62, A: 0xff}
	badColour  = color.RGBA{R: 0xb3, G: 0x36, B: 0x36, A: 0xff}
	midColour  = color.RGBA{R: 0x3b, G: 0x5b, B: 0x92, A: 0xff}
	// lineColours are assigned in turn to the lines of a plot.
	lineColours = []color.Color{goodColour, badColour, midColour}
)

// windowNames are the names of a row's windows on the pages.
var windowNames = [burn.WindowCount]string{"5 min", "1 h", "6 h", "3 d"}

// Burn writes the page of a burn report.
func Burn(out io.Writer, report burn.Report) error {
	at := time.UnixMilli(report.AtUnixMS).UTC().Format(time.RFC3339)
	doc := document{
		Title: "Service-level burn",
		Notes: []string{
			"As of " + at + ".",
			"A burn of 1 spends exactly the error budget that the objective allows; 10 spends it ten times too fast.",
		},
		Sections: []section{burnTable(report)},
	}
	for _, row := range report.Rows {
		plots, err := burnPlots(row)
		if err != nil {
			return err
		}
		doc.Sections = append(doc.Sections, section{Heading: row.Entry + ", " + row.Owner, Plots: plots})
	}
	return doc.write(out)
}

// ObjectiveText formats an objective.
func ObjectiveText(objective *burn.Objective) string {
	if objective == nil {
		return "none"
	}
	return fmt.Sprintf("%g%% in %d ms", 100*objective.Ratio, objective.LatencyMS)
}

func burnTable(report burn.Report) section {
	table := section{Heading: "Overview", Head: []string{"Entry", "Owner", "Objective"}}
	for _, name := range windowNames {
		table.Head = append(table.Head, "Good "+name, "Bad "+name, "Burn "+name)
	}
	table.Head = append(table.Head, "Budget left", "Alert")
	for _, row := range report.Rows {
		cells := []string{row.Entry, row.Owner, ObjectiveText(row.Objective)}
		for _, window := range row.Windows {
			cells = append(cells, fmt.Sprint(window.Good), fmt.Sprint(window.Bad), fmt.Sprintf("%.2f", window.BurnRate))
		}
		cells = append(cells, fmt.Sprintf("%.1f%%", 100*row.BudgetLeft), string(row.Alert))
		table.Rows = append(table.Rows, cells)
	}
	return table
}

func burnPlots(row burn.Row) ([]template.HTML, error) {
	rates, err := ratesPlot(row)
	if err != nil {
		return nil, err
	}
	counts, err := minutesPlot(row)
	if err != nil {
		return nil, err
	}
	return []template.HTML{rates, counts}, nil
}

// ratesPlot plots the burn rate of each window.
func ratesPlot(row burn.Row) (template.HTML, error) {
	values := plotter.Values{}
	names := []string{}
	for i, window := range row.Windows {
		if i >= len(windowNames) {
			break
		}
		values = append(values, window.BurnRate)
		names = append(names, windowNames[i])
	}
	if len(values) == 0 {
		return "", errors.New("burn: a row has no windows")
	}
	p := plot.New()
	p.Title.Text = "Burn rate by window"
	p.Y.Label.Text = "burn rate"
	bars, err := barChart(values, badColour)
	if err != nil {
		return "", err
	}
	p.Add(bars)
	p.NominalX(names...)
	p.Y.Min = 0
	p.Y.Max = max(p.Y.Max, 1)
	return inline(p)
}

// minutesPlot plots the good and bad submissions of each minute of the last hour.
func minutesPlot(row burn.Row) (template.HTML, error) {
	good, bad := plotter.XYs{}, plotter.XYs{}
	for _, minute := range row.LastHour {
		x := float64(minute.StartUnix)
		good = append(good, plotter.XY{X: x, Y: float64(minute.Good)})
		bad = append(bad, plotter.XY{X: x, Y: float64(minute.Bad)})
	}
	p := plot.New()
	p.Title.Text = "Submissions a minute, last hour"
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04", Time: plot.UTCUnixTime}
	p.Y.Label.Text = "submissions"
	p.Y.Min = 0
	p.Legend.Top = true
	if len(good) == 0 {
		p.X.Min, p.X.Max, p.Y.Max = 0, 1, 1
		return inline(p)
	}
	if err := addLine(p, "good", good, goodColour); err != nil {
		return "", err
	}
	if err := addLine(p, "bad", bad, badColour); err != nil {
		return "", err
	}
	return inline(p)
}

// barWidth is the width of a bar, in points.
const barWidth vg.Length = 35

func barChart(values plotter.Values, colour color.Color) (*plotter.BarChart, error) {
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return nil, errors.Wrap(err, "bar chart")
	}
	bars.Color = colour
	bars.LineStyle.Width = 0
	return bars, nil
}

// addLine adds a line with points and its legend entry.
func addLine(p *plot.Plot, name string, points plotter.XYs, colour color.Color) error {
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return errors.Wrap(err, "line")
	}
	line.Color = colour
	dots.Color = colour
	p.Add(line, dots)
	p.Legend.Add(name, line, dots)
	return nil
}
