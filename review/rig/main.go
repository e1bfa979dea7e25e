// Command rig plays the cases of the review: it starts the controllers as processes and the
// stand-ins around them, and checks the rules.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runLimit is the time after which a run is given up.
const runLimit = 118 * time.Second

// outcome is the result of a case.
type outcome struct {
	code int
	text string
}

var cases = map[string]func(rec *record, root string, trouble bool, logs string) outcome{
	"lost-tasks":  playLostTasks,
	"one-failure": playOneFailure,
	"huge-array":  playHugeArray,
	"random":      playRandom,
}

// onExit ends the processes of the run.
var onExit = func() {}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	recordPath := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	logs := flag.String("logs", "", "folder for the controllers' logs")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Println("no such case:", *name)
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(*recordPath)
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	finish := func(result outcome) {
		for _, line := range rec.summary() {
			rec.say("rule broken: %s", line)
		}
		rec.say("%s (exit %d)", result.text, result.code)
		os.Exit(result.code)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		text := "the run was interrupted"
		select {
		case <-interrupted:
		case <-time.After(runLimit):
			text = "the run took too long"
		}
		onExit()
		finish(outcome{exitNotRun, text})
	}()
	finish(play(rec, *root, *trouble, *logs))
}
