package bench

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/tools/client"
)

// Plan is the fixed list of submissions of a scenario, ordered by intended time.
type Plan struct {
	Submissions []PlannedSubmission
	// Tasks counts the tasks of all submissions.
	Tasks int
}

// PlannedSubmission is one submission with its intended send time.
type PlannedSubmission struct {
	// At is the intended send time since the start of the run.
	At time.Duration
	// Class is the position of the class in the scenario.
	Class      int
	Submission client.Submission
	// Ideal is the best possible response time: the longest run time among the tasks plus one round trip.
	Ideal time.Duration
	// CancelAt is the time since the start at which the caller cancels the submission; 0 means never.
	CancelAt time.Duration
	// ResubmitAfter is how long the caller waits for an answer before it sends the submission again; 0 means forever.
	ResubmitAfter time.Duration
	// Measured is false during the warm-up.
	Measured bool
}

// payload is a task's payload for a stand-in target.
type payload struct {
	RunMS int    `json:"run_ms"`
	Fail  string `json:"fail,omitempty"`
	Echo  string `json:"echo"`
}

// NewPlan generates the submissions of a scenario. The same scenario and seed give the same plan. Run is part of every
// submission's key, so that the keys of different runs differ.
func NewPlan(scenario *Scenario, run string) (*Plan, error) {
	plan := new(Plan)
	for position := range scenario.Classes {
		random := rand.New(rand.NewPCG(scenario.Seed, uint64(position))) //nolint:gosec // A fixed seed is wanted.
		if err := plan.addClass(scenario, position, run, random); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(plan.Submissions, func(a, b PlannedSubmission) int { return int(a.At - b.At) })
	return plan, nil
}

func (p *Plan) addClass(scenario *Scenario, position int, run string, random *rand.Rand) error {
	class := &scenario.Classes[position]
	peak := class.peakRate()
	number := 0
	for at := 0.0; ; {
		at += random.ExpFloat64() / peak
		when := time.Duration(at * float64(time.Second))
		if when >= scenario.Duration() {
			return nil
		}
		if random.Float64() >= class.rate(when)/peak {
			continue
		}
		planned := newPlanned(scenario, position, when, fmt.Sprintf("%s/%s-%d", run, class.Name, number), random)
		number++
		p.Tasks += len(planned.Submission.Tasks)
		p.Submissions = append(p.Submissions, planned)
		if p.Tasks > maxTasks || len(p.Submissions) > maxSubmissions {
			return fault.New(fault.TooLarge, "lower the rates or the duration",
				"scenario %s has over %d submissions or %d tasks", scenario.Name, maxSubmissions, maxTasks)
		}
	}
}

// peakRate returns the highest rate including bursts, in submissions a second.
func (c *Class) peakRate() float64 {
	peak := c.RatePerSecond
	for _, burst := range c.Bursts {
		peak = max(peak, c.RatePerSecond*burst.Factor)
	}
	return peak
}

// rate returns the rate at a time since the start, in submissions a second.
func (c *Class) rate(at time.Duration) float64 {
	ms := int(at.Milliseconds())
	for _, burst := range c.Bursts {
		if ms >= burst.AtMS && ms < burst.AtMS+burst.LengthMS {
			return c.RatePerSecond * burst.Factor
		}
	}
	return c.RatePerSecond
}

func newPlanned(scenario *Scenario, position int, at time.Duration, key string, random *rand.Rand) PlannedSubmission {
	class := &scenario.Classes[position]
	planned := PlannedSubmission{
		At: at, Class: position,
		Measured:      at >= time.Duration(scenario.WarmUpMS)*time.Millisecond,
		ResubmitAfter: time.Duration(class.ResubmitAfterMS) * time.Millisecond,
		Submission: client.Submission{
			Owner: class.Owner, Entry: class.Entry, Key: key, DeadlineMS: class.DeadlineMS,
		},
	}
	longest := 0
	for index := range int(math.Round(class.Tasks.draw(random))) {
		runMS := int(math.Round(class.RunMS.draw(random)))
		longest = max(longest, runMS)
		planned.Submission.Tasks = append(planned.Submission.Tasks, newTask(class, key, index, runMS, random))
	}
	planned.Ideal = time.Duration(longest)*time.Millisecond + time.Duration(scenario.RoundTripUS)*time.Microsecond
	planned.CancelAt = class.cancelAt(at, random)
	return planned
}

func newTask(class *Class, key string, index, runMS int, random *rand.Rand) client.Task {
	text, err := json.Marshal(payload{RunMS: runMS, Fail: class.Fail, Echo: echoOf(key, index)})
	if err != nil {
		panic(err) // A struct of numbers and strings always encodes.
	}
	task := client.Task{Payload: text}
	if class.DeclaredFactor != nil {
		task.ExpectedRunMS = max(1, int64(math.Round(float64(runMS)*class.DeclaredFactor.draw(random))))
	}
	return task
}

// echoOf returns the text that the stand-in target must echo in a task's result.
func echoOf(key string, index int) string {
	return fmt.Sprintf("%s#%d", key, index)
}

// cancelAt draws when the caller cancels a submission that is sent at that time; 0 means never.
func (c *Class) cancelAt(at time.Duration, random *rand.Rand) time.Duration {
	share := random.Float64()
	if share < c.CancelRatio {
		return at + time.Duration(c.CancelAfterMS)*time.Millisecond
	}
	for _, wave := range c.CancelWaves {
		end := time.Duration(wave.AtMS) * time.Millisecond
		start := end - time.Duration(wave.WindowMS)*time.Millisecond
		if at >= start && at < end && random.Float64() < wave.Ratio {
			return end
		}
	}
	return 0
}
