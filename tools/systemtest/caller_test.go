package systemtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// callerTimeout bounds one request of a caller, longer than any job's deadline here.
const callerTimeout = 40 * time.Second

// submission is a request of the callers' API.
type submission struct {
	Owner      string `json:"owner"`
	Entry      string `json:"entry"`
	Key        string `json:"key"`
	DeadlineMS int    `json:"deadline_ms,omitempty"`
	Tasks      []task `json:"tasks"`
}

type task struct {
	Payload payload `json:"payload"`
}

type payload struct {
	RunMS int    `json:"run_ms"`
	Echo  string `json:"echo"`
}

// answer is what the callers' API gives back.
type answer struct {
	Job   string       `json:"job"`
	State string       `json:"state"`
	Tasks []taskAnswer `json:"tasks"`
}

type taskAnswer struct {
	Index   int    `json:"index"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Result  struct {
		Echo string `json:"echo"`
	} `json:"result"`
}

func newSubmission(entry, key string, tasks, runMS int) submission {
	s := submission{Owner: "team", Entry: entry, Key: key}
	for i := range tasks {
		s.Tasks = append(s.Tasks, task{Payload: payload{RunMS: runMS, Echo: fmt.Sprintf("%s/%d", key, i)}})
	}
	return s
}

// post sends a submission; the status is 0 when no answer came.
func post(api string, s submission) (answer, int) {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post(api+"/v1/submissions", "application/json", bytes.NewReader(text))
	if err != nil {
		return answer{}, 0
	}
	defer response.Body.Close()
	var got answer
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
		return answer{}, 0
	}
	return got, response.StatusCode
}

// postAsync sends a submission in the background.
func postAsync(api string, s submission) <-chan answer {
	answers := make(chan answer, 1)
	go func() {
		got, _ := post(api, s)
		answers <- got
	}()
	return answers
}

// postUntilAnswered resubmits to the entries in turn, as a caller does that believes its job lost.
func postUntilAnswered(t *testing.T, apis []string, s submission) answer {
	t.Helper()
	var got answer
	turn := 0
	eventually(t, "job "+s.Key+" is answered", func() bool {
		answered, status := post(apis[turn%len(apis)], s)
		turn++
		got = answered
		return status == http.StatusOK
	})
	return got
}

// requireWhole fails unless every task is done with its own result.
func requireWhole(t *testing.T, s submission, got answer) {
	t.Helper()
	if got.State != "complete" || len(got.Tasks) != len(s.Tasks) {
		t.Fatalf("job %s: state %q with %d of %d tasks: %+v", s.Key, got.State, len(got.Tasks), len(s.Tasks), got.Tasks)
	}
	for i, one := range got.Tasks {
		if one.Index != i || one.Outcome != "done" || one.Result.Echo != s.Tasks[i].Payload.Echo {
			t.Fatalf("job %s task %d: %+v", s.Key, i, one)
		}
	}
}

// requireTruthful fails when an answer is partial or contradicts the ledger of starts.
func requireTruthful(t *testing.T, s submission, got answer, starts map[string]int) {
	t.Helper()
	if len(got.Tasks) != len(s.Tasks) {
		t.Fatalf("job %s: partial answer, %d of %d tasks", s.Key, len(got.Tasks), len(s.Tasks))
	}
	for i, one := range got.Tasks {
		count := starts[fmt.Sprintf("%s-%d", got.Job, i)]
		switch {
		case count > 1:
			t.Errorf("job %s task %d started %d times", s.Key, i, count)
		case one.Outcome == "done" && count != 1:
			t.Errorf("job %s task %d is done without a start", s.Key, i)
		case one.Outcome == "not_run" && count != 0:
			t.Errorf("job %s task %d is answered as not run, yet it started", s.Key, i)
		}
	}
}

// requireNoDoubledStart fails when any never-repeated task started twice.
func requireNoDoubledStart(t *testing.T, starts map[string]int) {
	t.Helper()
	for id, count := range starts {
		if count > 1 {
			t.Errorf("task %s started %d times", id, count)
		}
	}
}
