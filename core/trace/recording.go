package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/errors"

	"flamingohall.example/core/fault"
)

// maxLineBytes is the maximum length of a line of a recording.
const maxLineBytes = 64 << 20

// header is the first line of a recording.
type header struct {
	Aggregate string          `json:"aggregate"`
	Options   json.RawMessage `json:"options"`
}

// step is each further line.
type step struct {
	AtNS    int64     `json:"at_ns"`
	Event   Message   `json:"event"`
	Effects []Message `json:"effects,omitempty"`
}

// Writer writes a recording. It is not safe for concurrent use.
type Writer struct {
	codec Codec
	lines *json.Encoder
	err   error
}

// NewWriter writes the header for an aggregate with its options and returns the writer of its steps.
func NewWriter(out io.Writer, codec Codec, aggregate string, options any) (*Writer, error) {
	encoded, err := json.Marshal(options)
	if err != nil {
		return nil, errors.Wrap(err, "trace: encode options")
	}
	w := &Writer{codec: codec, lines: json.NewEncoder(out)}
	if err := w.lines.Encode(header{Aggregate: aggregate, Options: encoded}); err != nil {
		return nil, errors.Wrap(err, "trace: write header")
	}
	return w, nil
}

// Step records one event and its effects. After a failure, which Err returns, it does nothing.
func (w *Writer) Step(at time.Duration, event any, effects []any) {
	if w.err != nil {
		return
	}
	line := step{AtNS: at.Nanoseconds()}
	line.Event, w.err = w.codec.Encode(event)
	for _, effect := range effects {
		if w.err != nil {
			return
		}
		var message Message
		message, w.err = w.codec.Encode(effect)
		line.Effects = append(line.Effects, message)
	}
	if w.err == nil {
		w.err = w.lines.Encode(line)
	}
}

// Err returns the first error of a Step.
func (w *Writer) Err() error {
	return w.err
}

// Step is one recorded event with its effects.
type Step struct {
	At      time.Duration
	Event   any
	Effects []any
}

// Read reads a recording of the aggregate: it decodes the options into options and returns the steps. It ignores a
// truncated last line, which a killed process leaves behind. For a recording that it can't decode, it returns a
// *fault.Error of kind Malformed.
func Read(in io.Reader, codec Codec, aggregate string, options any) ([]Step, error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	if err := readHeader(lines, aggregate, options); err != nil {
		return nil, err
	}
	var steps []Step
	for lines.Scan() {
		var line step
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			return steps, checkLastLine(lines)
		}
		decoded, err := line.decode(codec)
		if err != nil {
			return nil, err
		}
		steps = append(steps, decoded)
	}
	return steps, lines.Err()
}

func readHeader(lines *bufio.Scanner, aggregate string, options any) error {
	var first header
	if !lines.Scan() || json.Unmarshal(lines.Bytes(), &first) != nil || first.Aggregate != aggregate {
		return fault.New(fault.Malformed, "pass a recording of "+aggregate, "trace: no header of aggregate %q", aggregate)
	}
	if err := json.Unmarshal(first.Options, options); err != nil {
		return fault.New(fault.Malformed, "use an unchanged recording", "trace: decode options: %v", err)
	}
	return nil
}

// checkLastLine returns nil if the unreadable line was the last one.
func checkLastLine(lines *bufio.Scanner) error {
	if lines.Scan() {
		return fault.New(fault.Malformed, "use an unchanged recording", "trace: a line before the last is not valid JSON")
	}
	return lines.Err()
}

func (s step) decode(codec Codec) (Step, error) {
	event, err := codec.Decode(s.Event)
	if err != nil {
		return Step{}, err
	}
	decoded := Step{At: time.Duration(s.AtNS), Event: event}
	for _, message := range s.Effects {
		effect, err := codec.Decode(message)
		if err != nil {
			return Step{}, err
		}
		decoded.Effects = append(decoded.Effects, effect)
	}
	return decoded, nil
}
