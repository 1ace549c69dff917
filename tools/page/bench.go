package page

import (
	"fmt"
	"html/template"
	"io"
	"sort"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"flamingohall.example/tools/bench"
)

// Bench writes the page of a bench run.
func Bench(out io.Writer, result *bench.Result) error {
	plots, err := benchPlots(result)
	if err != nil {
		return err
	}
	doc := document{
		Title: "Bench: " + result.Scenario,
		Notes: []string{
			fmt.Sprintf("Sent to %s, started %s, measured over %.1f s, seed %d, scenario %s.", result.Mode,
				time.UnixMilli(result.StartedUnixMS).UTC().Format(time.RFC3339),
				float64(result.MeasuredMS)/millisecondsPerSecond, result.Seed, result.Digest),
			"Command: " + strings.Join(result.Command, " "),
			fmt.Sprintf("Machine: %d cores, load %.1f before and %.1f after.", result.Machine.Cores,
				result.Machine.LoadBefore, result.Machine.LoadAfter),
			"Response time counts from the intended time; slowdown is response time over the ideal.",
		},
		Sections: []section{
			classesTable(result),
			{Heading: "Over time", Plots: plots},
			messagesTable(result),
			nodesTable(result),
			processesTable(result),
			faultsTable(result),
		},
	}
	return doc.write(out)
}

const millisecondsPerSecond = 1000

func classesTable(result *bench.Result) section {
	table := section{Heading: "What callers saw", Head: []string{
		"Class", "Sent", "Endings", "Tasks a second", "Response ms p50", "p99", "p99.9",
		"Slowdown p50", "p99", "p99.9", "Refusal ms p99",
	}}
	for _, class := range append([]bench.ClassResult{result.All}, result.Classes...) {
		table.Rows = append(table.Rows, []string{
			class.Class, fmt.Sprint(class.Sent), EndingsText(class.Endings), fmt.Sprintf("%.1f", class.TasksPerSecond),
			formatMS(class.ResponseUS.P50), formatMS(class.ResponseUS.P99), formatMS(class.ResponseUS.P999),
			fmt.Sprintf("%.3f", class.Slowdown.P50), fmt.Sprintf("%.3f", class.Slowdown.P99),
			fmt.Sprintf("%.3f", class.Slowdown.P999), formatMS(class.RefusalUS.P99),
		})
	}
	return table
}

// EndingsText formats the number of submissions by ending, the most frequent ending first.
func EndingsText(endings map[string]int) string {
	names := make([]string, 0, len(endings))
	for name := range endings {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := endings[names[i]], endings[names[j]]
		return a > b || a == b && names[i] < names[j]
	})
	for i, name := range names {
		names[i] = fmt.Sprintf("%d %s", endings[name], name)
	}
	return strings.Join(names, ", ")
}

func formatMS(us float64) string {
	return fmt.Sprintf("%.2f", us/millisecondsPerSecond)
}

func messagesTable(result *bench.Result) section {
	messages := result.Messages
	table := section{Heading: "Messages", Head: []string{"Kind", "Count", "Per task started"}}
	add := func(kind string, count int64) {
		perTask := float64(count) / float64(max(messages.TasksStarted, 1))
		table.Rows = append(table.Rows, []string{kind, fmt.Sprint(count), fmt.Sprintf("%.4f", perTask)})
	}
	add("tasks started", messages.TasksStarted)
	add("runs sent", messages.RunsSent)
	for _, kind := range messages.Wasted.Kinds() {
		add("wasted: "+kind.Name, kind.Count)
	}
	add("wasted in all", messages.Wasted.Total())
	add("control messages", messages.ControlMessages)
	add("control bytes", messages.ControlBytes)
	add("callers' submissions", result.Callers.Submissions)
	add("callers' resubmissions", result.Callers.Resubmissions)
	add("callers' cancellations", result.Callers.Cancellations)
	return table
}

func nodesTable(result *bench.Result) section {
	table := section{Heading: "Control traffic", Head: []string{"Role", "Node", "Bytes a second", "Messages a second"}}
	for _, node := range result.Nodes {
		table.Rows = append(table.Rows, []string{
			node.Role, node.ID, fmt.Sprintf("%.0f", node.BytesPerSecond), fmt.Sprintf("%.2f", node.MessagesPerSecond),
		})
	}
	return table
}

func processesTable(result *bench.Result) section {
	const bytesPerMB = 1 << 20
	table := section{Heading: "Processes", Head: []string{"Process", "Share of a core", "Resident MB", "Peak MB"}}
	for _, process := range result.Processes {
		table.Rows = append(table.Rows, []string{
			process.Name, fmt.Sprintf("%.2f%%", 100*process.Core), fmt.Sprintf("%.1f", float64(process.ResidentBytes)/bytesPerMB),
			fmt.Sprintf("%.1f", float64(process.PeakBytes)/bytesPerMB),
		})
	}
	return table
}

func faultsTable(result *bench.Result) section {
	table := section{Heading: "Faults", Head: []string{"At ms", "Targets", "Error"}}
	for _, fault := range result.Faults {
		table.Rows = append(table.Rows, []string{fmt.Sprint(fault.AtMS), fmt.Sprint(fault.Targets), fault.Error})
	}
	return table
}

func benchPlots(result *bench.Result) ([]template.HTML, error) {
	var p50, p99, complete, refused, other plotter.XYs
	for _, second := range result.Seconds {
		x := float64(second.At)
		if second.Complete > 0 {
			p50 = append(p50, plotter.XY{X: x, Y: second.SlowdownP50})
			p99 = append(p99, plotter.XY{X: x, Y: second.SlowdownP99})
		}
		complete = append(complete, plotter.XY{X: x, Y: float64(second.Complete)})
		refused = append(refused, plotter.XY{X: x, Y: float64(second.Refused)})
		other = append(other, plotter.XY{X: x, Y: float64(second.OtherEnding)})
	}
	slowdown, err := overTime("Slowdown", "slowdown", []series{{"p50", p50}, {"p99", p99}})
	if err != nil {
		return nil, err
	}
	counts, err := overTime("Submissions a second by ending", "submissions",
		[]series{{"complete", complete}, {"refused", refused}, {"other", other}})
	if err != nil {
		return nil, err
	}
	return []template.HTML{slowdown, counts}, nil
}

// series is a named line of a plot.
type series struct {
	name   string
	points plotter.XYs
}

// overTime plots lines over the seconds of a run.
func overTime(title, unit string, lines []series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	for i, line := range lines {
		if len(line.points) == 0 {
			continue
		}
		if err := addLine(p, line.name, line.points, lineColours[i%len(lineColours)]); err != nil {
			return "", err
		}
	}
	if p.X.Min > p.X.Max {
		p.X.Min, p.X.Max, p.Y.Max = 0, 1, 1
	}
	return inline(p)
}
