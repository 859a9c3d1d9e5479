// Command review2 plays the scenes of the second review against processes of the system on loopback
// addresses. Exit code: 1 if the rule was broken, 0 if it held, 2 if the scene couldn't run.
package main

import (
	"fmt"
	"os"
)

func main() {
	scenes := map[string]func(*record, bool) (bool, error){
		"restart": restartScene,
		"reward":  rewardScene,
		"surplus": surplusScene,
	}
	if len(os.Args) != 3 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 SCENE RECORD")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := scenes[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.write("could not run", "error", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
	}
	r.close()
	switch {
	case broken:
		fmt.Println("rule broken")
		os.Exit(1)
	case err != nil:
		os.Exit(2)
	}
	fmt.Println("rule held")
}
