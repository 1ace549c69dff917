package explain

import (
	"fmt"
	"strings"
)

// verdict says how a request ended, from the last line that tells so.
func verdict(lines []line, about []int) string {
	for i := len(about) - 1; i >= 0; i-- {
		switch one := &lines[about[i]]; one.number("event") {
		case eventJobEnded:
			return one.jobVerdict()
		case eventRequestRefused:
			return fmt.Sprintf("%s answered %d without making a job: %s", one.node, one.number("status"), one.text("reason"))
		}
	}
	return "the logs hold no answer to the request: its entry ended first, or its line was left out"
}

// jobVerdict says how a job ended.
func (l *line) jobVerdict() string {
	took, objective := l.number("took_ms"), l.number("objective_ms")
	switch result := l.text("result"); result {
	case "completed":
		if took <= objective {
			return fmt.Sprintf("completed in time: %d of %d ms", took, objective)
		}
		return fmt.Sprintf("completed late: %d ms instead of %d; %s", took, objective, l.delay())
	case "refused":
		return fmt.Sprintf("refused, nothing ran: %s; a wait of %d ms was expected", l.text("cause"), l.number("predicted_wait_ms"))
	default:
		return fmt.Sprintf("%s after %d ms: %s; %s", result, took, l.text("cause"), l.delay())
	}
}

// delay says where a job's time went, as far as its line tells.
func (l *line) delay() string {
	var parts []string
	if waited := l.number("waited_ms"); waited > 0 {
		parts = append(parts, fmt.Sprintf("its last task began after %d ms", waited))
	}
	if again := l.number("offers") - l.number("tasks"); again > 0 {
		parts = append(parts, fmt.Sprintf("%d of its tasks were offered again", again))
	}
	if failures := l.number("failures"); failures > 0 {
		parts = append(parts, fmt.Sprintf("%d runs failed", failures))
	}
	if worker := l.text("worker"); worker != "" {
		parts = append(parts, "the last end came from "+worker)
	}
	if len(parts) == 0 {
		return "no task of it had begun"
	}
	return strings.Join(parts, ", ")
}
