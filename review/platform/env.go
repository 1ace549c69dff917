package main

import (
	"os"
	"strconv"
	"time"
)

func envInt(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}

func envMS(name string, value int) time.Duration {
	return time.Duration(envInt(name, value)) * time.Millisecond
}
