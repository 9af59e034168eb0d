// Command knownred decides whether CI tolerates a failed run of go test. It does if every failure
// is that of a test listed in KNOWN-RED.txt.
//
//	go run ./internal/knownred KNOWN-RED.txt [results.txt]
//
// It prints the known failures, and exits with status 1 on any other failure or if the list cannot
// be parsed. With a missing or empty list, no test may fail. Without results, it only validates the
// list.
package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"
)

func main() {
	var err error
	switch len(os.Args) {
	case 2:
		_, err = readList(os.Args[1])
	case 3:
		err = run(os.Args[1], os.Args[2], os.Stdout)
	default:
		err = errors.New("usage: knownred KNOWN-RED.txt [results.txt]")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// readList reads and parses the list. A missing file is an empty list.
func readList(path string) (knownTests, error) {
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	return parseList(string(text))
}

// run checks the results of go test in one file against the list in another and prints the known
// failures. It returns an error if the run is not tolerated.
func run(listPath, resultsPath string, out io.Writer) error {
	known, err := readList(listPath)
	if err != nil {
		return err
	}
	results, err := os.ReadFile(resultsPath)
	if err != nil {
		return err
	}
	failedTests, err := checkResults(string(results), known)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "failed and known:", strings.Join(failedTests, " "))
	return nil
}
