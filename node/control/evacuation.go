package control

import (
	"context"
	"slices"
	"strings"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/registry"
	"flamingohall.example/core/state"
	"flamingohall.example/node/events"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/settings"
)

const (
	// orderRetryDelay is the time between two attempts to confirm or propose an order while there is no leader.
	orderRetryDelay = 50 * time.Millisecond
	// maxPromptRead is how long the read of the last order may take to count as made when the call arrived. It is much longer
	// than a confirmed read with a leader, and shorter than an election.
	maxPromptRead = 300 * time.Millisecond
	// supersededRetryAfter is how long an operator should wait before a superseded order is given again.
	supersededRetryAfter = time.Second
)

// EvacuationAnswer is the answer to an acknowledged order.
type EvacuationAnswer struct {
	// Repeated means that the data centre was in the ordered state already.
	Repeated bool
	// PoolsWithoutWorkers are the pools all of whose workers are in evacuated data centres, including this one.
	PoolsWithoutWorkers []string
	// isSuperseded means that nothing has changed, because a newer order was given since this one arrived.
	isSuperseded bool
}

func ackTimeoutOf(file *settings.Control) time.Duration {
	if file.AckTimeoutMS == 0 {
		return settings.DefaultAckTimeoutMS * time.Millisecond
	}
	return time.Duration(file.AckTimeoutMS) * time.Millisecond
}

// Evacuate starts or ends the evacuation of a data centre. It returns once a majority has stored the order, and may be
// repeated, at any control VM. After fault.Invalid, fault.NotFound (no such data centre) and fault.Unavailable (among others
// for an order that a newer one has superseded) this call changed nothing; after fault.Unknown it may have, or may still.
func (r *Role) Evacuate(ctx context.Context, dataCentre string, evacuated bool, author string) (EvacuationAnswer, error) {
	answer, err := r.evacuate(ctx, dataCentre, evacuated, author)
	if err == nil && answer.isSuperseded {
		err = fault.New(fault.Unavailable, "list the evacuations, and give the order again if it is still wanted",
			"data centre %q: a newer order was given since this one arrived", dataCentre).WithRetryAfter(supersededRetryAfter)
	}
	return answer, err
}

func (r *Role) evacuate(ctx context.Context, dataCentre string, evacuated bool, author string) (EvacuationAnswer, error) {
	if dataCentre == "" || len(dataCentre) > maxNameBytes {
		return EvacuationAnswer{}, fault.New(fault.Invalid, "give 1 to 256 bytes",
			"the name of the data centre has %d bytes", len(dataCentre))
	}
	ctx, cancel := context.WithTimeout(ctx, r.ackTimeout)
	defer cancel()
	known, isOvertaken, err := r.readLastOrder(ctx, dataCentre)
	if err != nil {
		return EvacuationAnswer{}, err
	}
	var index uint64
	result := state.Result{Evacuation: registry.OrderSuperseded}
	if !isOvertaken {
		index, result, err = r.proposeOrder(ctx, registry.EvacuationOrder{
			DataCentre: dataCentre, Evacuated: evacuated, Known: known,
		})
	}
	if err != nil {
		return EvacuationAnswer{}, err
	}
	if result.Evacuation == registry.OrderSuperseded {
		events.OrderSuperseded.Log(r.logger, "data_centre", dataCentre, "evacuated", evacuated, "author", author)
		return EvacuationAnswer{isSuperseded: true}, nil
	}
	event := events.EvacuationEnded
	if evacuated {
		event = events.EvacuationOrdered
	}
	answer := EvacuationAnswer{Repeated: result.Evacuation == registry.OrderRepeated, PoolsWithoutWorkers: result.Pools}
	event.Log(r.logger, "data_centre", dataCentre, "index", index, "repeated", answer.Repeated, "author", author)
	for _, pool := range answer.PoolsWithoutWorkers {
		events.LastDataCentreEvacuated.Log(r.logger, "pool", pool, "data_centre", dataCentre, "author", author)
	}
	return answer, nil
}

// readLastOrder returns the log index of the data centre's last order after a confirmed read. If the read had to wait for a
// leader, an order that it shows for the first time may be newer than this call, which then must not undo it: isOvertaken.
func (r *Role) readLastOrder(ctx context.Context, dataCentre string) (known uint64, isOvertaken bool, err error) {
	arrived := time.Now()
	before, _ := r.lastOrder(dataCentre)
	err = r.retryOrder(ctx, func() error { return (&operator{role: r}).confirm(ctx) })
	if err != nil {
		return 0, false, err
	}
	known, dataCentres := r.lastOrder(dataCentre)
	if !slices.Contains(dataCentres, dataCentre) {
		return 0, false, fault.New(fault.NotFound, "give one of: "+strings.Join(dataCentres, ", "),
			"data centre %q is unknown", dataCentre)
	}
	return known, known != before && time.Since(arrived) > maxPromptRead, nil
}

// lastOrder returns the log index of a data centre's last order, and the names of all known data centres.
func (r *Role) lastOrder(dataCentre string) (uint64, []string) {
	var index uint64
	var dataCentres []string
	r.machine.read(func(s *state.State) {
		index = s.Registry.LastOrder(dataCentre)
		dataCentres = s.Registry.DataCentres()
	})
	dataCentres = append(dataCentres, r.dataCentres...)
	slices.Sort(dataCentres)
	return index, slices.Compact(dataCentres)
}

// proposeOrder commits an order. It repeats an attempt that has failed or whose outcome is unknown, which is safe since the
// order names the last one that it follows.
func (r *Role) proposeOrder(ctx context.Context, order registry.EvacuationOrder) (uint64, state.Result, error) {
	var index uint64
	var result state.Result
	mayHaveRun := false
	err := r.retryOrder(ctx, func() error {
		if ctx.Err() != nil {
			return fault.New(fault.Unavailable, "give the order again", "the order was not proposed: %v", ctx.Err())
		}
		var err error
		index, result, err = r.proposer.proposeAwaited(ctx, state.Step{Evacuate: &order})
		mayHaveRun = mayHaveRun || err != nil && fault.Of(err).Kind == fault.Unknown
		return err
	})
	switch {
	case err == nil && result.Evacuation == 0:
		return 0, state.Result{}, fault.New(fault.Internal, "upgrade all control VMs to one version",
			"a control VM of an earlier version does not know evacuations")
	case err == nil:
		return index, result, nil
	case mayHaveRun:
		return 0, state.Result{}, fault.New(fault.Unknown, "give the same order again", "%s", fault.Of(err).Message)
	}
	return 0, state.Result{}, err
}

// retryOrder repeats a call until it succeeds, fails for a reason that does not pass by itself, or ctx ends. It ends at once
// when this VM has no contact with a majority, so that the operator can ask another VM.
func (r *Role) retryOrder(ctx context.Context, call func() error) error {
	for {
		if _, err := r.gate.await(ctx); err != nil {
			return err
		}
		err := call()
		if err == nil {
			return nil
		}
		if kind := fault.Of(err).Kind; kind != fault.Unavailable && kind != fault.Unknown {
			return err
		}
		select {
		case <-time.After(orderRetryDelay):
		case <-ctx.Done():
			return err
		}
	}
}

// Evacuate starts or ends the evacuation of a data centre.
func (o *operator) Evacuate(ctx context.Context, request *rpc.EvacuateRequest) (*rpc.EvacuateResponse, error) {
	if len(request.GetAuthor()) > maxNameBytes {
		return nil, faultrpc.To(fault.New(fault.Invalid, "give at most 256 bytes", "the author has %d bytes", len(request.GetAuthor())))
	}
	answer, err := o.role.evacuate(ctx, request.GetDataCentre(), request.GetEvacuated(), request.GetAuthor())
	if err != nil {
		return nil, faultrpc.To(err)
	}
	return &rpc.EvacuateResponse{
		Repeated: answer.Repeated, PoolsWithoutWorkers: answer.PoolsWithoutWorkers, Superseded: answer.isSuperseded,
	}, nil
}

// Evacuations lists the evacuated data centres. Other VMs forward the request to the leader, which receives all digests and
// so knows which sidecars have reported that tasks run at their targets.
func (o *operator) Evacuations(
	ctx context.Context, request *rpc.EvacuationsRequest,
) (*rpc.EvacuationsResponse, error) {
	status := o.role.group.Status()
	if !status.IsLeader && !request.GetLocal() && status.LeaderAddress != "" {
		return callLeader(ctx, o.role, status, func(ctx context.Context, leader rpc.Operator) (*rpc.EvacuationsResponse, error) {
			return leader.Evacuations(ctx, &rpc.EvacuationsRequest{Local: true})
		})
	}
	if err := o.confirm(ctx); err != nil {
		return nil, faultrpc.To(err)
	}
	response := &rpc.EvacuationsResponse{}
	var nodes []registry.Node
	o.role.machine.read(func(s *state.State) {
		nodes = s.Registry.Nodes()
		for _, evacuation := range s.Registry.Evacuations() {
			response.Evacuations = append(response.Evacuations, &rpc.Evacuation{
				DataCentre: evacuation.DataCentre, OrderedUnixMs: evacuation.UnixMS, Index: evacuation.OrderedAt,
			})
		}
	})
	for _, evacuation := range response.GetEvacuations() {
		for _, node := range nodes {
			if node.Role == registry.Sidecar && node.DataCentre == evacuation.GetDataCentre() {
				o.countWorker(evacuation, node.Number)
			}
		}
	}
	return response, nil
}

func (o *operator) countWorker(evacuation *rpc.Evacuation, number uint64) {
	evacuation.Workers++
	seen, _ := o.role.presence.last(number)
	switch seen.activity {
	case activityBusy:
		evacuation.Busy++
	case activityUnknown:
		evacuation.Unknown++
	case activityIdle:
	}
}
