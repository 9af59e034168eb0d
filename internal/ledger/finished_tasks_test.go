package ledger

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

func TestRanges(t *testing.T) {
	cases := []struct {
		name, done string
		want       Ranges
	}{
		{"no tasks", "", nil},
		{"none done", "....", nil},
		{"one of one", "x", Ranges{0, 0}},
		{"all done", "xxxx", Ranges{0, 3}},
		{"two ranges", ".xx.x", Ranges{1, 2, 4, 4}},
		{"every other task", "x.x.x", Ranges{0, 0, 2, 2, 4, 4}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := EncodeRanges(func(i int) bool { return c.done[i] == 'x' }, len(c.done))
			if !reflect.DeepEqual(got, c.want) {
				t.Errorf("EncodeRanges of %q returned %v, want %v", c.done, got, c.want)
			}
			decoded := []byte(strings.Repeat(".", len(c.done)))
			got.Each(func(i int) { decoded[i] = 'x' })
			if string(decoded) != c.done {
				t.Errorf("Each of %v visits %q, want %q", got, decoded, c.done)
			}
		})
	}
}

// TestChunkFitsSmallestValueLimit checks that the largest encoding of a chunk, with every other task
// done, stays well below the smallest value limit of 16 KiB.
func TestChunkFitsSmallestValueLimit(t *testing.T) {
	worst, err := json.Marshal(EncodeRanges(func(i int) bool { return i%2 == 0 }, TasksPerChunk))
	if err != nil || len(worst) > 12<<10 {
		t.Errorf("largest chunk takes %d bytes, want at most 12 KiB", len(worst))
	}
}
