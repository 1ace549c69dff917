package client

import (
	"context"
	"net/http"
	"strings"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/rpc"
)

// Operator calls control VMs. It tries them in turn, beginning with the one that answered last.
type Operator struct {
	names   []string
	clients []rpc.Operator
	timeout time.Duration
	last    int
}

// NewOperator returns a client over the control VMs at addresses (host:port or URLs). Timeout bounds each try.
func NewOperator(addresses []string, timeout time.Duration) (*Operator, error) {
	if len(addresses) == 0 {
		return nil, fault.New(fault.Malformed, "give --control or set FLAMINGOHALL_CONTROL", "no control VM is named")
	}
	operator := &Operator{timeout: timeout}
	transport := &http.Client{Transport: newTransport()}
	for _, address := range addresses {
		operator.names = append(operator.names, address)
		operator.clients = append(operator.clients, rpc.NewOperatorProtobufClient(baseURL(address), transport))
	}
	return operator, nil
}

// Call runs one call against the control VMs in turn until one answers or refuses for good. All calls of the service
// are idempotent: changes carry a change id.
func Call[Request, Response any](ctx context.Context, o *Operator, request *Request,
	method func(rpc.Operator, context.Context, *Request) (*Response, error),
) (*Response, error) {
	var failures []string
	for try := range o.clients {
		position := (o.last + try) % len(o.clients)
		response, err := callOne(ctx, o.clients[position], o.timeout, request, method)
		if err == nil {
			o.last = position
			return response, nil
		}
		found := fault.Of(faultrpc.From(err))
		if !othersMayAnswer(found.Kind) {
			return nil, found
		}
		failures = append(failures, o.names[position]+": "+found.Error())
	}
	return nil, fault.New(fault.Unavailable,
		"check --control and that a majority of the control VMs runs, then give the same command again",
		"no control VM answered: %s", strings.Join(failures, ", "))
}

// othersMayAnswer reports whether a fault is that of one control VM.
func othersMayAnswer(kind fault.Kind) bool {
	return kind == fault.Unavailable || kind == fault.Unknown || kind == fault.Storage
}

func callOne[Request, Response any](ctx context.Context, client rpc.Operator, timeout time.Duration, request *Request,
	method func(rpc.Operator, context.Context, *Request) (*Response, error),
) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return method(client, ctx, request)
}
