// Command stand2 plays the cases of the second review: it starts three controllers, by the command
// of the deploy file, with stand-ins of the state service, the cloud, the workers and the users, and
// checks the rules. It is called from the repository's root.
//
// The cases chaos and quiet are no cases of the review: they play drawn disruptions for a few minutes, for
// searches by hand. SHARDS=3 gives them three shards, LATE=1 late commits and commands (quiet), and OLD=FILE
// begins with the controllers of an earlier version, which are then replaced (chaos). KEEP=1 keeps the
// folder with settings and logs.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(record *recorder, trouble bool) error{}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "", "file to write what happens to")
	flag.Parse()
	os.Exit(play(*name, *path))
}

func play(name, path string) int {
	run := cases[name]
	if run == nil {
		fmt.Println("no such case:", name)
		return exitNotRun
	}
	record, err := newRecorder(path)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.note("case %s, disruption: %v", name, trouble)
	if err := run(record, trouble); err != nil {
		record.fails("%v", err)
	}
	if record.hasFailed() {
		fmt.Println("could not run:", record.failed)
		return exitNotRun
	}
	if record.isBroken() {
		for _, text := range record.broken {
			fmt.Println("broken:", text)
		}
		return exitBroken
	}
	record.note("held")
	fmt.Println("held")
	return exitHeld
}
