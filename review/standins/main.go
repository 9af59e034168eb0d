package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases lists the cases by name.
var cases = map[string]func(root, record string) int{
	"sick-machine":   runSickMachine,
	"repeated-start": runRepeatedStart,
	"no-estimate":    runNoEstimate,
}

func init() {
	// The controllers are killed when the thread that started them ends, so that must be the main one.
	runtime.LockOSThread()
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE REPOSITORY RECORD")
		os.Exit(exitNotRun)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-ended
		os.Exit(exitNotRun) // the controllers end with this process
	}()
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	os.Exit(cases[os.Args[1]](root, os.Args[3]))
}
