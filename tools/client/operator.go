package client

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/rpc"
)

// Control is a client of one service of the control VMs. It tries the VMs in turn, starting with the one that answered
// last.
type Control[Service any] struct {
	names   []string
	clients []Service
	timeout time.Duration
	last    int
}

// Services of control VMs.
type (
	// Operator is a client of the operators' service.
	Operator = Control[rpc.Operator]
	// Jobs is a client of the service for stored jobs.
	Jobs = Control[rpc.Jobs]
)

// NewOperator returns a client of the control VMs at addresses (host:port or URLs). Timeout bounds each attempt.
func NewOperator(addresses []string, timeout time.Duration) (*Operator, error) {
	return newControl(addresses, timeout, rpc.NewOperatorProtobufClient)
}

// NewJobs returns a client of the control VMs at addresses (host:port or URLs). Timeout bounds each attempt.
func NewJobs(addresses []string, timeout time.Duration) (*Jobs, error) {
	return newControl(addresses, timeout, rpc.NewJobsProtobufClient)
}

func newControl[Service any](
	addresses []string, timeout time.Duration, open func(string, rpc.HTTPClient, ...twirp.ClientOption) Service,
) (*Control[Service], error) {
	if len(addresses) == 0 {
		return nil, fault.New(fault.Malformed, "give --control or set FLAMINGOHALL_CONTROL", "no control VM is named")
	}
	control := &Control[Service]{timeout: timeout}
	transport := &http.Client{Transport: newTransport()}
	for _, address := range addresses {
		control.names = append(control.names, address)
		control.clients = append(control.clients, open(baseURL(address), transport))
	}
	return control, nil
}

// Call calls a method on the control VMs in turn until one answers or returns a fault that the others would return too.
// Retrying is safe because all methods of the services are idempotent: a change carries a change id or sets a final state.
func Call[Service, Request, Response any](ctx context.Context, o *Control[Service], request *Request,
	method func(Service, context.Context, *Request) (*Response, error),
) (*Response, error) {
	var failures []string
	for try := range o.clients {
		position := (o.last + try) % len(o.clients)
		response, err := callOne(ctx, o.clients[position], o.timeout, request, method)
		if err == nil {
			o.last = position
			return response, nil
		}
		failure := fault.Of(faultrpc.From(err))
		if !othersMayAnswer(failure.Kind) {
			return nil, failure
		}
		failures = append(failures, o.names[position]+": "+failure.Error())
	}
	return nil, fault.New(fault.Unavailable,
		"check --control and that a majority of the control VMs runs, then give the same command again",
		"no control VM answered: %s", strings.Join(failures, ", "))
}

// othersMayAnswer reports whether a fault may affect only the control VM that returned it.
func othersMayAnswer(kind fault.Kind) bool {
	return kind == fault.Unavailable || kind == fault.Unknown || kind == fault.Storage
}

func callOne[Service, Request, Response any](ctx context.Context, client Service, timeout time.Duration, request *Request,
	method func(Service, context.Context, *Request) (*Response, error),
) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return method(client, ctx, request)
}
