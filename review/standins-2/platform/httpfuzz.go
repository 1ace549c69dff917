package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["httpfuzz"] = httpFuzz; sizes["httpfuzz"] = [3]int{3, 1, 3} }

// httpFuzz sends requests in pieces and several at a time on kept connections, and counts the answers.
func httpFuzz(c *cluster, trouble bool) int {
	stop := time.Now().Add(40 * time.Second)
	var wait sync.WaitGroup
	counts := map[string]int{}
	var mutex sync.Mutex
	note := func(k string) { mutex.Lock(); counts[k]++; mutex.Unlock() }
	for n := range 6 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(stop) {
				conn, err := net.Dial("tcp", net.JoinHostPort(c.entries[0].ip, fmt.Sprint(c.ports.front)))
				if err != nil {
					note("dial " + err.Error())
					time.Sleep(100 * time.Millisecond)
					continue
				}
				reader := bufio.NewReader(conn)
				requests := 1 + rand.IntN(30)
				depth := 1
				if n%2 == 1 {
					depth = 1 + rand.IntN(6)
				}
				sent, got := 0, 0
				var methods []string
				for got < requests {
					for sent < requests && sent-got < depth {
						text, method := c.rawRequest()
						methods = append(methods, method)
						sent++
						for len(text) > 0 {
							k := len(text)
							if rand.IntN(3) == 0 {
								k = 1 + rand.IntN(len(text))
							}
							if _, err := io.WriteString(conn, text[:k]); err != nil {
								break
							}
							text = text[k:]
							if rand.IntN(4) == 0 {
								time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
							}
						}
					}
					_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
					request, _ := http.NewRequest(methods[got], "/", nil)
					response, err := http.ReadResponse(reader, request)
					if err != nil {
						note(fmt.Sprintf("no answer: depth %v: %v", depth > 1, err))
						break
					}
					body, _ := io.ReadAll(response.Body)
					_ = response.Body.Close()
					note(fmt.Sprintf("%s %d %s", methods[got], response.StatusCode, strings.TrimSpace(string(body))))
					got++
					if response.Close {
						note("closed")
						break
					}
				}
				_ = conn.Close()
			}
		}()
	}
	wait.Wait()
	for k, v := range counts {
		if !strings.Contains(k, "pending") {
			c.say("%s: %d", k, v)
		}
	}
	return held
}

func (c *cluster) rawRequest() (text, method string) {
	var b strings.Builder
	method = []string{"POST", "POST", "GET", "DELETE", "GET"}[rand.IntN(5)]
	id := newID()
	path := prefix + id
	if method == "GET" && rand.IntN(2) == 0 {
		path = prefix
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host)
	for range rand.IntN(20) {
		fmt.Fprintf(&b, "X-%d: %s\r\n", rand.IntN(1000), strings.Repeat("v", rand.IntN(400)))
	}
	fmt.Fprintf(&b, "Deadline-Ms: 1500\r\n")
	if method == "POST" {
		body := string(jobBody("ms=2 cpu=10 "+strings.Repeat("x", rand.IntN(3000)), true, phase{Count: 1 + rand.IntN(3), CPU: 10, MemMB: 1, EstMS: 2}))
		if rand.IntN(3) == 0 {
			b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
			for len(body) > 0 {
				k := 1 + rand.IntN(len(body))
				fmt.Fprintf(&b, "%x\r\n%s\r\n", k, body[:k])
				body = body[k:]
			}
			b.WriteString("0\r\n\r\n")
		} else {
			fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
		}
	} else {
		b.WriteString("\r\n")
	}
	return b.String(), method
}
