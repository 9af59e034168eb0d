package inifile

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// YesNo reads a boolean, written as yes or no.
func YesNo(target *bool) KeyReader {
	return KeyReader{"yes or no", func(value string) bool {
		if value != "yes" && value != "no" {
			return false
		}
		*target = value == "yes"
		return true
	}}
}

// Text reads a string. Every value is valid.
func Text(target *string) KeyReader {
	return KeyReader{"a text", func(value string) bool {
		*target = value
		return true
	}}
}

// Names reads names separated by commas. It stores them sorted and without duplicates.
func Names(target *[]string) KeyReader {
	return KeyReader{"names separated by commas", func(value string) bool {
		var names []string
		for _, name := range strings.Split(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		*target = slices.Compact(names)
		return true
	}}
}

// Integer reads an integer from lower to upper. It must have no decimal point and no exponent.
func Integer(target *int, lower, upper int) KeyReader {
	return KeyReader{fmt.Sprintf("a whole number from %d to %d", lower, upper), func(value string) bool {
		n, err := strconv.Atoi(value)
		if err != nil || n < lower || n > upper {
			return false
		}
		*target = n
		return true
	}}
}

// Number reads a number from lower to upper.
func Number(target *float64, lower, upper float64) KeyReader {
	return convertedNumber(lower, upper, func(n float64) { *target = n })
}

// TruncatedNumber reads a number from lower to upper and stores it truncated to an integer.
func TruncatedNumber(target *int, lower, upper float64) KeyReader {
	return convertedNumber(lower, upper, func(n float64) { *target = int(n) })
}

// Seconds reads a duration in seconds, from lower to upper seconds.
func Seconds(target *time.Duration, lower, upper float64) KeyReader {
	return convertedNumber(lower, upper, func(n float64) { *target = secondsToDuration(n) })
}

// Milliseconds reads a duration in milliseconds, from lower to upper milliseconds.
func Milliseconds(target *time.Duration, lower, upper float64) KeyReader {
	return convertedNumber(lower, upper, func(n float64) { *target = secondsToDuration(n / 1000) })
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// convertedNumber reads a number from lower to upper and passes it to store.
func convertedNumber(lower, upper float64, store func(n float64)) KeyReader {
	return KeyReader{fmt.Sprintf("a number between %v and %v", lower, upper), func(value string) bool {
		n, ok := ParseNumber(value, lower, upper)
		if ok {
			store(n)
		}
		return ok
	}}
}

// ParseNumber parses a number and reports whether it is valid and from lower to upper. NaN is not.
func ParseNumber(value string, lower, upper float64) (float64, bool) {
	n, err := strconv.ParseFloat(value, 64)
	return n, err == nil && n >= lower && n <= upper
}

// ParseWholeNumber parses a number from lower to upper without a fraction. Unlike Integer, it
// accepts notations such as 1e6.
func ParseWholeNumber(value string, lower, upper float64) (int, bool) {
	n, ok := ParseNumber(value, lower, upper)
	return int(n), ok && n == float64(int(n))
}

// ParsePercent parses a number from lower to upper followed by a percent sign. It returns the
// percentage, not the fraction.
func ParsePercent(value string, lower, upper float64) (float64, bool) {
	number, isPercent := strings.CutSuffix(value, "%")
	if !isPercent {
		return 0, false
	}
	return ParseNumber(strings.TrimSpace(number), lower, upper)
}
