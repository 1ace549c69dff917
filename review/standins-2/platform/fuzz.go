package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["fuzz"] = fuzz; sizes["fuzz"] = [3]int{3, 2, 3} }

var numbers = []string{"0", "1", "2", "-1", "1400", "1401", "3100", "64000", "1000000", "2147483647", "2147483648", "4294967296", "1000000000000", "9000000000000", "9223372036854775807", "9223372036854775808", "-9223372036854775808", "1e3", "1e300", "0.5", "1.0", "\"1\"", "null", "true", "[]", "{}"}

func pick() string { return numbers[rand.IntN(len(numbers))] }

func pickSane() string { return numbers[rand.IntN(10)] }

func fuzzJob() string {
	var phases []string
	for range 1 + rand.IntN(3) {
		var fields []string
		for _, f := range []string{"count", "cpu", "mem_mb", "gpu", "est_runtime_ms", "anti_affinity", "long_running", "gang", "checkpointing", "speculative", "skippable"} {
			switch rand.IntN(6) {
			case 0:
				fields = append(fields, fmt.Sprintf("%q:%s", f, pick()))
			case 1, 2:
				if f == "count" {
					fields = append(fields, fmt.Sprintf("%q:%d", f, 1+rand.IntN(6)))
				} else {
					fields = append(fields, fmt.Sprintf("%q:%s", f, []string{"0", "1", "5", "100", "3000", "9223372036854775807", "4611686018427387904", "9223372036854"}[rand.IntN(8)]))
				}
			}
		}
		if !strings.Contains(strings.Join(fields, ","), "count") {
			fields = append(fields, fmt.Sprintf(`"count":%d`, 1+rand.IntN(4)))
		}
		if rand.IntN(4) == 0 {
			fields = append(fields, `"after":[`+[]string{"0", "0,0", "-1", "1", "5", "0,1"}[rand.IntN(6)]+"]")
		}
		if rand.IntN(6) == 0 {
			fields = append(fields, `"constraints":`+[]string{`"a"`, `""`, `"zz"`, "5", "\"\\u0000\""}[rand.IntN(5)])
		}
		if rand.IntN(6) == 0 {
			fields = append(fields, `"data_rack":`+[]string{`"r1-0"`, `""`, `"zz"`, "\"\\ud800\""}[rand.IntN(4)])
		}
		phases = append(phases, "{"+strings.Join(fields, ",")+"}")
	}
	spec := []string{`"ms=20 cpu=10"`, `""`, `"\u0000ms=30"`, `"ms=5 \u2028<>&é"`}[rand.IntN(4)]
	best := []string{"true", "false", "true", "1"}[rand.IntN(4)]
	return fmt.Sprintf(`{"spec":%s,"best_effort":%s,"phases":[%s]}`, spec, best, strings.Join(phases, ","))
}

func fuzzHeartbeat(l *life) string {
	cap := fmt.Sprintf(`{"cpu":%s,"mem_mb":%s,"gpu":%s}`, pick(), pick(), pick())
	if rand.IntN(2) == 0 {
		cap = `{"cpu":32000,"mem_mb":65536,"gpu":0}`
	}
	born := fmt.Sprint(l.born)
	if rand.IntN(2) == 0 {
		born = pick()
	}
	return fmt.Sprintf(`{"service":%s,"address":%s,"zone":"celje-a","version":"v1","slots":%s,"state":%s,"cold_remaining_ms":%s,"capacity":%s,"labels":%s,"clock_ms":%s,"seq_no":%s,"born":%s}`,
		[]string{`"` + service + `"`, `"other"`, "5", "null"}[rand.IntN(4)], []string{`"127.0.0.1:1"`, "7"}[rand.IntN(2)], pick(),
		[]string{`"ready"`, `"draining"`, `"x"`}[rand.IntN(3)], pick(), cap, []string{`["a"]`, `[]`, `[1]`, `null`, `{}`}[rand.IntN(5)], pick(), pick(), born)
}

func fuzzConfig(version int) string {
	route := func(n int) string {
		return fmt.Sprintf(`{"name":"r-%d","host":"h%d.example","path_prefix":"/p%d/","kind":"non_idempotent","timeout_ms":%s,"target_latency_ms":%s,"priority":%s,"service":%q,"attempts":%s,"slack_factor":%s}`,
			n, n, n, []string{"1500", pick()}[rand.IntN(2)], []string{"60", pick()}[rand.IntN(2)], []string{"0", pick()}[rand.IntN(2)], service, []string{"2", pick()}[rand.IntN(2)], []string{"1.6", pick()}[rand.IntN(2)])
	}
	base := fmt.Sprintf(`{"name":"r-one","host":%q,"path_prefix":%q,"kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":60,"priority":0,"service":%q,"attempts":2,"slack_factor":1.6}`, host, prefix, service)
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s],"services":[{"name":%q,"enforce_capacity":%s}],"limits":{"max_header_bytes":%s}}`, version, base, route(1), service, []string{"true", "false"}[rand.IntN(2)], pick())
}

// fuzz sends odd jobs, configurations and heartbeats, and looks for processes that end by themselves.
func fuzz(c *cluster, trouble bool) int {
	stop := time.Now().Add(60 * time.Second)
	var wait sync.WaitGroup
	statuses := map[string]int{}
	var mutex sync.Mutex
	note := func(k string) { mutex.Lock(); statuses[k]++; mutex.Unlock() }
	for range 4 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(stop) {
				body := fuzzJob()
				r := c.ask("POST", c.anyEntry(), newID(), []byte(body), 1500*time.Millisecond)
				note(fmt.Sprint("job ", r.status))
				if r.status == 0 {
					c.say("no answer to %s: %s", body, r.body)
				}
			}
		}()
	}
	wait.Add(1)
	go func() {
		defer wait.Done()
		version := 2
		for time.Now().Before(stop) {
			version++
			n := c.control[rand.IntN(3)]
			body := fuzzConfig(version)
			r := call(http.MethodPost, fmt.Sprintf("http://%s:%d/-/Config.Put", n.ip, c.ports.control), "", []byte(body), 2*time.Second, nil)
			note(fmt.Sprint("config ", r.status))
			if r.status == 0 || r.status >= 500 {
				c.say("config: %d %s to %s", r.status, r.body, body)
			}
			w := c.workers[rand.IntN(len(c.workers))]
			w.mutex.Lock()
			l := w.life
			w.mutex.Unlock()
			r = call(http.MethodPost, fmt.Sprintf("http://%s:%d/-/Instances.Heartbeat/%s", w.ip, c.ports.control, l.id), "", []byte(fuzzHeartbeat(l)), 2*time.Second, nil)
			note(fmt.Sprint("beat ", r.status))
			time.Sleep(30 * time.Millisecond)
		}
	}()
	wait.Wait()
	code := held
	for _, n := range c.all() {
		n.mutex.Lock()
		if n.cmd == nil {
			c.say("%s has ended", n.name)
			code = broken
		}
		n.mutex.Unlock()
	}
	time.Sleep(5 * time.Second)
	for range 10 {
		r := c.ask("POST", c.anyEntry(), newID(), jobBody("ms=50 cpu=100", true, phase{Count: 2, CPU: 100, MemMB: 1, EstMS: 50}), 1500*time.Millisecond)
		note(fmt.Sprint("after ", r.status, r.body))
		time.Sleep(300 * time.Millisecond)
	}
	c.say("%v", statuses)
	return code
}
