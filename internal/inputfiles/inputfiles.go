// Package inputfiles reads records from the files named on a command line.
package inputfiles

import (
	"fmt"
	"io"
	"os"
)

// ReadAll calls read on each file and returns the records of all, in the order of names. It stops
// at the first error, which names the file.
func ReadAll[T any](names []string, read func(in io.Reader) ([]T, error)) ([]T, error) {
	var all []T
	for _, name := range names {
		records, err := readFile(name, read)
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return all, nil
}

func readFile[T any](name string, read func(in io.Reader) ([]T, error)) ([]T, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	records, err := read(file)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	return records, nil
}
