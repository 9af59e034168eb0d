// Command knownred decides for CI whether a failed run of go test may be passed over: it may if all
// that failed are tests that KNOWN-RED.txt lists.
//
//	go run ./internal/knownred KNOWN-RED.txt [results.txt]
//
// It prints what failed and is known, and exits with 1 if anything else failed, or if the list can't
// be read. A missing or empty list means that nothing may fail. Without results it only reads the
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

// readList reads the list, which may be missing.
func readList(path string) (knownTests, error) {
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	return parseList(string(text))
}

// run judges the results in one file by the list in another.
func run(listPath, resultsPath string, out io.Writer) error {
	known, err := readList(listPath)
	if err != nil {
		return err
	}
	results, err := os.ReadFile(resultsPath)
	if err != nil {
		return err
	}
	red, err := checkResults(string(results), known)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "failed and known:", strings.Join(red, " "))
	return nil
}
