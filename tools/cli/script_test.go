package cli_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"flamingohall.example/node/daemon"
	"flamingohall.example/node/rpc"
	"flamingohall.example/tools/cli"
)

// TestMain makes both programs available as commands in the scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"flamingohall": func() {
			if err := cli.Main(os.Args[1:], os.Stdout, os.Stderr); err != nil {
				fmt.Fprintln(os.Stderr, "flamingohall:", err)
				os.Exit(cli.ExitCode(err))
			}
		},
		"flamingohalld": func() {
			if err := daemon.Main(os.Args[1:], os.Stdout, os.Stderr); err != nil {
				fmt.Fprintln(os.Stderr, "flamingohalld:", err)
				os.Exit(daemon.ExitCode(err))
			}
		},
	})
}

// TestScripts runs the scripts. Those that start no processes of their own use a fake control VM and a fake entry.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			services := http.NewServeMux()
			services.Handle(rpc.OperatorPathPrefix, rpc.NewOperatorServer(newFakeOperator()))
			services.Handle(rpc.JobsPathPrefix, rpc.NewJobsServer(newFakeJobs()))
			control := httptest.NewServer(services)
			entry := httptest.NewServer(newFakeEntry())
			env.Defer(control.Close)
			env.Defer(entry.Close)
			env.Setenv("FLAMINGOHALL_CONTROL", control.URL)
			env.Setenv("FLAMINGOHALL_ENTRIES", entry.URL)
			env.Setenv("FLAMINGOHALL_AUTHOR", "ana")
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"exits": exits, "ports": ports, "fill": fill, "await": await,
		},
	})
}

// exits runs a command and fails unless it ends with the given exit code.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: exits CODE COMMAND...")
	}
	err := ts.Exec(args[1], args[2:]...)
	code := 0
	if err != nil {
		if _, scanErr := fmt.Sscanf(err.Error(), "exit status %d", &code); scanErr != nil {
			ts.Fatalf("%v", err)
		}
	}
	if fmt.Sprint(code) != args[0] {
		ts.Fatalf("exit code %d, want %s", code, args[0])
	}
}

// ports sets each named variable to a free port of this machine.
func ports(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		ts.Check(err)
		ts.Setenv(name, fmt.Sprint(listener.Addr().(*net.TCPAddr).Port))
		defer listener.Close()
	}
}

// fill replaces $NAME by the value of the variable in the named files.
func fill(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// await waits until a URL answers with HTTP status 200.
func await(ts *testscript.TestScript, _ bool, args []string) {
	for range 600 {
		response, err := http.Get(args[0])
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("%s does not answer", args[0])
}
