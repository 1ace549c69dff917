package systemtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// callerTimeout bounds a request of a caller. It exceeds the deadlines of all jobs in these tests.
const callerTimeout = 40 * time.Second

// submission is the body of a request to the callers' API.
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

// answer is the body of a response of the callers' API.
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

// post sends a submission and returns the answer and the HTTP status, which is 0 if no answer came.
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

// postUntilAnswered submits to the entries in turn until one answers with status 200, as a caller does that gets no answer.
func postUntilAnswered(t *testing.T, apis []string, s submission) answer {
	t.Helper()
	var got answer
	attempt := 0
	eventually(t, "job "+s.Key+" is answered", func() bool {
		answered, status := post(apis[attempt%len(apis)], s)
		attempt++
		got = answered
		return status == http.StatusOK
	})
	return got
}

// requireComplete fails the test unless every task is done with its own result.
func requireComplete(t *testing.T, s submission, got answer) {
	t.Helper()
	if got.State != "complete" || len(got.Tasks) != len(s.Tasks) {
		t.Fatalf("job %s: state %q with %d of %d tasks: %+v", s.Key, got.State, len(got.Tasks), len(s.Tasks), got.Tasks)
	}
	for i, result := range got.Tasks {
		if result.Index != i || result.Outcome != "done" || result.Result.Echo != s.Tasks[i].Payload.Echo {
			t.Fatalf("job %s task %d: %+v", s.Key, i, result)
		}
	}
}

// requireConsistent fails the test if an answer is partial or contradicts the starts in the ledgers.
func requireConsistent(t *testing.T, s submission, got answer, starts map[string]int) {
	t.Helper()
	if len(got.Tasks) != len(s.Tasks) {
		t.Fatalf("job %s: partial answer, %d of %d tasks", s.Key, len(got.Tasks), len(s.Tasks))
	}
	for i, result := range got.Tasks {
		count := starts[fmt.Sprintf("%s-%d", got.Job, i)]
		switch {
		case count > 1:
			t.Errorf("job %s task %d started %d times", s.Key, i, count)
		case result.Outcome == "done" && count != 1:
			t.Errorf("job %s task %d is done without a start", s.Key, i)
		case result.Outcome == "not_run" && count != 0:
			t.Errorf("job %s task %d is answered as not run but started", s.Key, i)
		}
	}
}

// requireNoDoubleStart fails the test if a task started more than once. All tasks must be never-repeated.
func requireNoDoubleStart(t *testing.T, starts map[string]int) {
	t.Helper()
	for id, count := range starts {
		if count > 1 {
			t.Errorf("task %s started %d times", id, count)
		}
	}
}
