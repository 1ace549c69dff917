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

// fakeOperator is a control VM that answers Drain with err and counts the calls.
type fakeOperator struct {
	rpc.Operator
	err   error
	calls int
}

func (f *fakeOperator) Drain(context.Context, *rpc.DrainRequest) (*rpc.DrainResponse, error) {
	f.calls++
	return &rpc.DrainResponse{Found: true}, faultrpc.To(f.err)
}

func TestCall_TriesControlVMsInTurn(t *testing.T) {
	conflict := fault.New(fault.Conflict, "read again", "changed meanwhile")
	cases := []struct {
		name        string
		first       error
		want        fault.Kind
		secondCalls int
	}{
		{"the first answers", nil, "", 0},
		{"the first has no majority", fault.New(fault.Unavailable, "", "no majority"), "", 1},
		{"the first can't write", fault.New(fault.Storage, "", "disk"), "", 1},
		{"the outcome is unknown", fault.New(fault.Unknown, "", "silence"), "", 1},
		{"the first rejects the change", conflict, fault.Conflict, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first, second := &fakeOperator{err: c.first}, &fakeOperator{}
			firstServer := httptest.NewServer(rpc.NewOperatorServer(first))
			secondServer := httptest.NewServer(rpc.NewOperatorServer(second))
			defer firstServer.Close()
			defer secondServer.Close()
			operator, err := NewOperator([]string{"127.0.0.1:1", firstServer.URL, secondServer.URL}, time.Minute)
			if err != nil {
				t.Fatal(err)
			}
			_, err = Call(t.Context(), operator, &rpc.DrainRequest{}, rpc.Operator.Drain)
			if c.want == "" && err != nil || c.want != "" && !fault.Is(err, c.want) {
				t.Errorf("got %v, want kind %q", err, c.want)
			}
			if second.calls != c.secondCalls {
				t.Errorf("the second was called %d times, want %d", second.calls, c.secondCalls)
			}
			if c.want != "" && fault.Of(err).Remedy != conflict.Remedy {
				t.Errorf("the remedy is lost: %v", err)
			}
		})
	}
}
