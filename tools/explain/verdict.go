package explain

import (
	"fmt"
	"strings"
)

// verdict describes how a request ended, by the last matching line that reports it.
func verdict(lines []line, matching []int) string {
	for i := len(matching) - 1; i >= 0; i-- {
		switch l := &lines[matching[i]]; l.number("event") {
		case eventJobEnded:
			return l.jobVerdict()
		case eventRequestRefused:
			return fmt.Sprintf("%s answered %d without creating a job: %s", l.node, l.number("status"), l.text("reason"))
		}
	}
	return "the logs hold no answer to the request: its entry ended before it answered, or the line was dropped"
}

// jobVerdict describes how a job ended.
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

// delay describes what delayed a job, as far as its line shows.
func (l *line) delay() string {
	var parts []string
	if waited := l.number("waited_ms"); waited > 0 {
		parts = append(parts, fmt.Sprintf("its last task started after %d ms", waited))
	}
	if again := l.number("offers") - l.number("tasks"); again > 0 {
		parts = append(parts, fmt.Sprintf("%d of its tasks were offered again", again))
	}
	if failures := l.number("failures"); failures > 0 {
		parts = append(parts, fmt.Sprintf("%d runs failed", failures))
	}
	if worker := l.text("worker"); worker != "" {
		parts = append(parts, "the last run ended on "+worker)
	}
	if len(parts) == 0 {
		return "none of its tasks had started"
	}
	return strings.Join(parts, ", ")
}
