package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"
)

func init() { cases["deadly"] = deadly; sizes["deadly"] = [3]int{3, 3, 8} }

// deadly: stored jobs whose task ends each worker that starts it.
func deadly(c *cluster, trouble bool) int {
	stop := time.Now().Add(60 * time.Second)
	if trouble {
		go func() {
			kinds := strings.Fields(os.Getenv("FAULTS"))
			for time.Now().Before(stop) && len(kinds) > 0 {
				time.Sleep(time.Duration(300+rand.IntN(1500)) * time.Millisecond)
				c.disrupt(kinds[rand.IntN(len(kinds))])
			}
		}()
	}
	ids := []string{}
	for time.Now().Before(stop) {
		id := newID()
		ids = append(ids, id)
		body := jobBody(fmt.Sprintf("cpu=3100 ms=400 crash=%d", 1000+rand.IntN(4000)), false, phase{Count: 1 + rand.IntN(2), CPU: 3100, MemMB: 64, EstMS: 400})
		for range 8 {
			if r := c.ask("POST", c.anyEntry(), id, body, 1500*time.Millisecond); r.status == 200 || r.status == 503 {
				break
			}
			time.Sleep(retransmitMS * time.Millisecond)
		}
		for range 3 {
			go c.ask("POST", c.anyEntry(), newID(), jobBody("cpu=3100 ms=300", false, phase{Count: 3, CPU: 3100, MemMB: 64, EstMS: 300}), 1500*time.Millisecond)
		}
		time.Sleep(time.Duration(2000+rand.IntN(6000)) * time.Millisecond)
	}
	time.Sleep(20 * time.Second)
	worst := 0
	for _, id := range ids {
		crashes, starts, late := 0, 0, 0
		for _, e := range c.record.all() {
			if e.name != id+".0.0.0" {
				continue
			}
			if e.kind == "start" {
				starts++
				if crashes >= 3 {
					late++
				}
			}
			if e.kind == "crashed" {
				crashes++
			}
		}
		r := c.ask("GET", c.anyEntry(), id, nil, 2*time.Second)
		c.say("%s: %d starts, %d crashes, %d starts after three crashes, state %s", id, starts, crashes, late, r.body)
		worst = max(worst, late)
	}
	if worst >= 3 {
		return broken
	}
	return held
}
