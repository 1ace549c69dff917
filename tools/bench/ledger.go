package bench

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strconv"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/standin"
	"flamingohall.example/tools/client"
)

// LedgerResult compares the starts that the targets noted with what the callers were told.
type LedgerResult struct {
	// Starts counts the starts of the tasks whose job ids the callers learned.
	Starts int `json:"starts"`
	// NeverRepeatedTwice counts never-repeated tasks that started more than once.
	NeverRepeatedTwice int `json:"never_repeated_twice"`
	// RepeatedStarts counts the starts of repeatable tasks beyond the first.
	RepeatedStarts int `json:"repeated_starts"`
	// NotRunButStarted counts tasks that were answered as not run although they started.
	NotRunButStarted int `json:"not_run_but_started"`
	// DoneWithoutStart counts tasks that were answered as done although no target noted a start.
	DoneWithoutStart int `json:"done_without_start"`
	// Examples are task ids of the faults above.
	Examples []string `json:"examples,omitempty"`
}

// readLedgers counts the starts of each task id.
func readLedgers(paths []string) (map[string]int, error) {
	starts := map[string]int{}
	for _, path := range paths {
		if err := readLedger(path, starts); err != nil {
			return nil, err
		}
	}
	return starts, nil
}

func readLedger(path string, starts map[string]int) error {
	file, err := os.Open(path) //nolint:gosec // The user names the file.
	if err != nil {
		return fault.New(fault.Malformed, "name the ledgers of the stand-in targets", "%v", err)
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line standin.LedgerLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return fault.New(fault.Malformed, "name ledgers that nothing else writes to", "%s: %v", path, err)
		}
		starts[line.Task]++
	}
	if err := lines.Err(); err != nil {
		return fault.New(fault.Malformed, "name ledgers of stand-in targets", "%s: %v", path, err)
	}
	return nil
}

// checkLedgers compares starts with the answers.
func checkLedgers(scenario *Scenario, starts map[string]int, observations []observation) *LedgerResult {
	result := new(LedgerResult)
	for _, seen := range observations {
		if seen.answer == nil {
			continue
		}
		never := scenario.Classes[seen.planned.Class].NeverRepeated
		for _, task := range seen.answer.Tasks {
			result.check(seen.answer.Job+"-"+strconv.Itoa(task.Index), task, never, starts)
		}
	}
	return result
}

func (l *LedgerResult) check(id string, task client.TaskAnswer, never bool, starts map[string]int) {
	count := starts[id]
	l.Starts += count
	switch {
	case count > 1 && never:
		l.NeverRepeatedTwice++
		l.example("twice " + id)
	case count > 1:
		l.RepeatedStarts += count - 1
	case count == 1 && task.Outcome == "not_run":
		l.NotRunButStarted++
		l.example(fmt.Sprintf("started %s: told %s after %d attempts, %s %s", id, task.Outcome, task.Attempts, task.Cause, task.Reason))
	case count == 0 && task.Outcome == client.OutcomeDone:
		l.DoneWithoutStart++
		l.example("no start " + id)
	}
}

func (l *LedgerResult) example(text string) {
	if len(l.Examples) < maxSamples {
		l.Examples = append(l.Examples, text)
	}
}
