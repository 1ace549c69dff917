// Program standin starts the system's own processes beside small stand-ins for its workers, callers and operator, and plays one case.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(){}

func main() {
	repository = os.Getenv("REPOSITORY")
	if repository == "" || len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Println("usage: REPOSITORY=FOLDER standin CASE")
		os.Exit(2)
	}
	cases[os.Args[1]]()
}
