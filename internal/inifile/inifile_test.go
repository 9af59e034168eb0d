package inifile

import (
	"reflect"
	"testing"
	"time"

	"gopkg.in/ini.v1"
)

const example = `top = 1
[first]
; comment
count = 3
wide: 2.5

[second]
count = 4
other = x
`

// TestReadSection checks that valid values are stored, and that each invalid entry is returned with
// a description of what is valid.
func TestReadSection(t *testing.T) {
	file, err := ini.Load([]byte("[s]\non = yes\nname = a b\nnames = c, a,,c\ncount = 5\nshare = 2.9\nwait_s = 1.5\nmargin_ms = 250\nbad = perhaps\nhigh = 11\nextra = 1\n"))
	if err != nil {
		t.Fatal(err)
	}
	var got struct {
		on, bad      bool
		name         string
		names        []string
		count, share int
		wait, margin time.Duration
		high         float64
	}
	invalid := ReadSection(file.Section("s"), Keys{
		"on":        YesNo(&got.on),
		"name":      Text(&got.name),
		"names":     Names(&got.names),
		"count":     Integer(&got.count, 1, 5),
		"share":     TruncatedNumber(&got.share, 0, 5),
		"wait_s":    Seconds(&got.wait, 0, 5),
		"margin_ms": Milliseconds(&got.margin, 0, 500),
		"bad":       YesNo(&got.bad),
		"high":      Number(&got.high, 0, 10),
	})
	if !got.on || got.name != "a b" || !reflect.DeepEqual(got.names, []string{"a", "c"}) || got.count != 5 || got.share != 2 ||
		got.wait != 1500*time.Millisecond || got.margin != 250*time.Millisecond || got.bad || got.high != 0 {
		t.Errorf("read %+v, want the valid values of the section, and zero for bad and high", got)
	}
	want := []InvalidEntry{
		{"bad", "perhaps", "yes or no"},
		{"high", "11", "a number between 0 and 10"},
		{"extra", "1", "a key that is known here (bad, count, high, margin_ms, name, names, on, share, wait_s)"},
	}
	if !reflect.DeepEqual(invalid, want) {
		t.Errorf("invalid entries %+v\nwant %+v", invalid, want)
	}
}

// TestParse checks which notations of numbers are valid for each parser, and that numbers out of
// bounds are not.
func TestParse(t *testing.T) {
	cases := []struct {
		value                  string
		number, whole, percent bool
	}{
		{"1", true, true, false},
		{"1.5", true, false, false},
		{"1e1", true, true, false},
		{"11", false, false, false},
		{"-1", false, false, false},
		{"NaN", false, false, false},
		{"", false, false, false},
		{"5%", false, false, true},
		{"5 %", false, false, true},
		{"11%", false, false, false},
	}
	for _, c := range cases {
		t.Run(c.value, func(t *testing.T) {
			_, number := ParseNumber(c.value, 0, 10)
			_, wholeNumber := ParseWholeNumber(c.value, 0, 10)
			_, percent := ParsePercent(c.value, 0, 10)
			if number != c.number || wholeNumber != c.whole || percent != c.percent {
				t.Errorf("valid as number: %v, as whole number: %v, as percentage: %v, want the values of the case", number, wholeNumber, percent)
			}
		})
	}
}

// TestLineOf checks that a key is found in its own section only.
func TestLineOf(t *testing.T) {
	cases := []struct {
		section, key string
		want         int
	}{
		{ini.DefaultSection, "top", 1},
		{"first", "count", 4},
		{"first", "wide", 5},
		{"second", "count", 8},
		{"first", "other", 0},
		{"third", "count", 0},
	}
	for _, c := range cases {
		if got := LineOf(example, c.section, c.key); got != c.want {
			t.Errorf("[%s] %s: got line %d, want %d", c.section, c.key, got, c.want)
		}
	}
}
