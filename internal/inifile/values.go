package inifile

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// YesNo reads a switch.
func YesNo(into *bool) KeyReader {
	return KeyReader{"yes or no", func(value string) bool {
		if value != "yes" && value != "no" {
			return false
		}
		*into = value == "yes"
		return true
	}}
}

// Text reads any value.
func Text(into *string) KeyReader {
	return KeyReader{"a text", func(value string) bool {
		*into = value
		return true
	}}
}

// Names reads names separated by commas. They are stored sorted, each once.
func Names(into *[]string) KeyReader {
	return KeyReader{"names separated by commas", func(value string) bool {
		var names []string
		for _, name := range strings.Split(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		*into = slices.Compact(names)
		return true
	}}
}

// Integer reads a whole number within bounds.
func Integer(into *int, least, most int) KeyReader {
	return KeyReader{fmt.Sprintf("a whole number from %d to %d", least, most), func(value string) bool {
		n, err := strconv.Atoi(value)
		if err != nil || n < least || n > most {
			return false
		}
		*into = n
		return true
	}}
}

// Number reads a number within bounds.
func Number(into *float64, least, most float64) KeyReader {
	return convertedNumber(least, most, func(n float64) { *into = n })
}

// TruncatedNumber reads a number within bounds and drops its fraction.
func TruncatedNumber(into *int, least, most float64) KeyReader {
	return convertedNumber(least, most, func(n float64) { *into = int(n) })
}

// Seconds reads a duration in seconds.
func Seconds(into *time.Duration, least, most float64) KeyReader {
	return convertedNumber(least, most, func(n float64) { *into = secondsToDuration(n) })
}

// Milliseconds reads a duration in milliseconds.
func Milliseconds(into *time.Duration, least, most float64) KeyReader {
	return convertedNumber(least, most, func(n float64) { *into = secondsToDuration(n / 1000) })
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// convertedNumber reads a number within bounds, which store converts.
func convertedNumber(least, most float64, store func(n float64)) KeyReader {
	return KeyReader{fmt.Sprintf("a number between %v and %v", least, most), func(value string) bool {
		n, ok := ParseNumber(value, least, most)
		if ok {
			store(n)
		}
		return ok
	}}
}

// ParseNumber parses a number within bounds; a NaN is within none.
func ParseNumber(value string, least, most float64) (float64, bool) {
	n, err := strconv.ParseFloat(value, 64)
	return n, err == nil && n >= least && n <= most
}

// ParseWholeNumber parses a number within bounds that has no fraction, such as 1e6.
func ParseWholeNumber(value string, least, most float64) (int, bool) {
	n, ok := ParseNumber(value, least, most)
	return int(n), ok && n == float64(int(n))
}

// ParsePercent parses a number within bounds before a percent sign.
func ParsePercent(value string, least, most float64) (float64, bool) {
	number, isPercent := strings.CutSuffix(value, "%")
	if !isPercent {
		return 0, false
	}
	return ParseNumber(strings.TrimSpace(number), least, most)
}
