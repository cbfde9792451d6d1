// Command standin2 plays the cases of the second review against processes of the
// system. It is called by the scripts of the cases:
//
//	standin2 CASE RECORD
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// playTime is the time after which a play ends in any case.
const playTime = 117 * time.Second

// play plays a case. hasTrouble is false for the run without the disruption. It returns
// whether the rule held.
type play func(rec *record, hasTrouble bool) (held bool, err error)

var plays = map[string]play{
	"wide":    playWide,
	"pending": playPending,
	"crowd":   playCrowd,
	"stale":   playStale,
	"deadly":  playDeadly,
	"foreign": playForeign,
	"fields":  playFields,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	// The kernel ends the processes of the system with this one.
	time.AfterFunc(playTime, func() {
		rec.add("not run: it takes longer than %v", playTime)
		os.Exit(exitNotRun)
	})
	hasTrouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble: %v", os.Args[1], hasTrouble)
	held, err := plays[os.Args[1]](rec, hasTrouble)
	switch {
	case err != nil:
		rec.add("not run: %v", err)
		fmt.Println("not run:", err)
		os.Exit(exitNotRun)
	case !held:
		rec.add("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
