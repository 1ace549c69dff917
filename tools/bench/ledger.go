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

// LedgerResult compares the starts in the targets' ledgers with the answers that callers received.
type LedgerResult struct {
	// Starts counts the starts of tasks of answered jobs. Starts of jobs without an answer are unknown, since their ids are.
	Starts int `json:"starts"`
	// NeverRepeatedTwice counts never-repeated tasks that started more than once.
	NeverRepeatedTwice int `json:"never_repeated_twice"`
	// RepeatedStarts counts the starts of repeatable tasks beyond the first.
	RepeatedStarts int `json:"repeated_starts"`
	// NotRunButStarted counts tasks that were answered as not run although a ledger has their start.
	NotRunButStarted int `json:"not_run_but_started"`
	// DoneWithoutStart counts tasks that were answered as done although no ledger has their start.
	DoneWithoutStart int `json:"done_without_start"`
	// Examples name the first tasks of the violations above.
	Examples []string `json:"examples,omitempty"`
}

// readLedgers counts the starts of each task id over all ledgers.
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
			return fault.New(fault.Malformed, "name ledgers that only stand-in targets write to", "%s: %v", path, err)
		}
		starts[line.Task]++
	}
	if err := lines.Err(); err != nil {
		return fault.New(fault.Malformed, "name ledgers of stand-in targets", "%s: %v", path, err)
	}
	return nil
}

// checkLedgers compares the number of starts of each task with its answer.
func checkLedgers(scenario *Scenario, starts map[string]int, observations []observation) *LedgerResult {
	result := new(LedgerResult)
	for _, obs := range observations {
		if obs.answer == nil {
			continue
		}
		neverRepeated := scenario.Classes[obs.planned.Class].NeverRepeated
		for _, task := range obs.answer.Tasks {
			result.check(obs.answer.Job+"-"+strconv.Itoa(task.Index), task, neverRepeated, starts)
		}
	}
	return result
}

func (l *LedgerResult) check(id string, task client.TaskAnswer, neverRepeated bool, starts map[string]int) {
	count := starts[id]
	l.Starts += count
	switch {
	case count > 1 && neverRepeated:
		l.NeverRepeatedTwice++
		l.addExample("twice " + id)
	case count > 1:
		l.RepeatedStarts += count - 1
	case count == 1 && task.Outcome == "not_run":
		l.NotRunButStarted++
		l.addExample(fmt.Sprintf("started %s: answered %s after %d attempts, %s %s", id, task.Outcome, task.Attempts, task.Cause, task.Reason))
	case count == 0 && task.Outcome == client.OutcomeDone:
		l.DoneWithoutStart++
		l.addExample("no start " + id)
	}
}

func (l *LedgerResult) addExample(text string) {
	if len(l.Examples) < maxSamples {
		l.Examples = append(l.Examples, text)
	}
}
