package client

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/rpc"
)

// oneAnswer is a control VM that gives one answer to Drain.
type oneAnswer struct {
	rpc.Operator
	err   error
	calls int
}

func (f *oneAnswer) Drain(context.Context, *rpc.DrainRequest) (*rpc.DrainResponse, error) {
	f.calls++
	return &rpc.DrainResponse{Found: true}, faultrpc.To(f.err)
}

func TestCall_TriesControlVMsInTurn(t *testing.T) {
	conflict := fault.New(fault.Conflict, "read again", "changed meanwhile")
	cases := []struct {
		name       string
		first      error
		want       fault.Kind
		secondAsks int
	}{
		{"the first answers", nil, "", 0},
		{"the first is cut off", fault.New(fault.Unavailable, "", "no majority"), "", 1},
		{"the first can't write", fault.New(fault.Storage, "", "disk"), "", 1},
		{"nobody can tell", fault.New(fault.Unknown, "", "silence"), "", 1},
		{"the first refuses for good", conflict, fault.Conflict, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first, second := &oneAnswer{err: c.first}, &oneAnswer{}
			one := httptest.NewServer(rpc.NewOperatorServer(first))
			two := httptest.NewServer(rpc.NewOperatorServer(second))
			defer one.Close()
			defer two.Close()
			operator, err := NewOperator([]string{"127.0.0.1:1", one.URL, two.URL}, time.Minute)
			if err != nil {
				t.Fatal(err)
			}
			_, err = Call(t.Context(), operator, &rpc.DrainRequest{}, rpc.Operator.Drain)
			if c.want == "" && err != nil || c.want != "" && !fault.Is(err, c.want) {
				t.Errorf("got %v, want kind %q", err, c.want)
			}
			if second.calls != c.secondAsks {
				t.Errorf("the second was asked %d times, want %d", second.calls, c.secondAsks)
			}
			if c.want != "" && fault.Of(err).Remedy != conflict.Remedy {
				t.Errorf("the remedy is lost: %v", err)
			}
		})
	}
}
