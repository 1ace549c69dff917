package sidecar

import (
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/settings"
)

func TestService_RefusesBadRequests(t *testing.T) {
	standIn, ledger := startTarget(t, settings.StandIn{Slots: 1})
	b := startSidecar(t, settings.Sidecar{TargetURL: "http://" + standIn.Addr(), Slots: 1, Queue: 1})
	cases := map[string]func(*rpc.RunRequest){
		"no tasks":       func(r *rpc.RunRequest) { r.Tasks = nil },
		"too many tasks": func(r *rpc.RunRequest) { r.Tasks = neverRepeatedRequest(b, 1401, quick).GetTasks() },
		"no attempt":     func(r *rpc.RunRequest) { r.Tasks[0].Attempt = 0 },
		"no epoch":       func(r *rpc.RunRequest) { r.Epoch = 0 },
		"no incarnation": func(r *rpc.RunRequest) { r.Incarnation = "" },
		"short job id":   func(r *rpc.RunRequest) { r.JobId = "abc" },
		"odd job id":     func(r *rpc.RunRequest) { r.JobId = strings.Repeat("x", 32) },
	}
	for name, corrupt := range cases {
		request := neverRepeatedRequest(b, 1, quick)
		corrupt(request)
		_, err := b.client.Run(t.Context(), request)
		got := fault.Of(faultrpc.From(err))
		if (got.Kind != fault.Invalid && got.Kind != fault.Malformed) || got.Remedy == "" {
			t.Errorf("%s: %s %v", name, got.Kind, got)
		}
	}
	wantStarts(t, ledger, 0)
}

func FuzzRun(f *testing.F) {
	valid, err := proto.Marshal(&rpc.RunRequest{
		JobId: testJob, Repeatable: true, Tasks: []*rpc.TaskSpec{{Index: 1, Attempt: 1}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0x5a, 0})
	sidecar, err := newSidecar(&settings.File{Sidecar: &settings.Sidecar{Slots: 1}}, logr.Discard())
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		request := &rpc.RunRequest{}
		if proto.Unmarshal(text, request) != nil {
			return
		}
		event, err := service{sidecar}.readRun(request)
		if (err == nil) != (len(event.Tasks) > 0) {
			t.Fatalf("%v with %d tasks", err, len(event.Tasks))
		}
		if err == nil {
			sidecar.core.Step(0, event)
		}
	})
}
