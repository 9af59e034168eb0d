package ledger

import "strconv"

// TasksPerChunk is how many tasks one key of finished ranges covers. The worst
// case, every other task done, stays well below the least value limit.
const TasksPerChunk = 1024

// The most bytes that the JSON of ranges takes: per task, when every other task is done, and
// besides.
const (
	maxRangeBytesPerTask = 5
	rangesOverheadBytes  = 16
)

// TasksPerPart is how many tasks a part has so that its ranges fit a value of so many
// bytes in the worst case, every other task done. It is a power of two.
func TasksPerPart(valueBytes int) int {
	tasks := TasksPerChunk
	for tasks > 1 && tasks*maxRangeBytesPerTask+rangesOverheadBytes > valueBytes {
		tasks /= 2
	}
	return tasks
}

// Ranges are finished tasks as pairs of first and last, relative to the chunk.
type Ranges []int

// EncodeRanges lists the ranges of finished tasks among the first count ones.
func EncodeRanges(finished func(task int) bool, count int) Ranges {
	var ranges Ranges
	for task := 0; task < count; task++ {
		if !finished(task) {
			continue
		}
		first := task
		for task+1 < count && finished(task+1) {
			task++
		}
		ranges = append(ranges, first, task)
	}
	return ranges
}

// Each calls visit for every task in the ranges.
func (r Ranges) Each(visit func(task int)) {
	for k := 0; k+1 < len(r); k += 2 {
		first, last := max(r[k], 0), min(r[k+1], TasksPerChunk-1)
		for task := first; task <= last; task++ {
			visit(task)
		}
	}
}

// Size is how many bytes the JSON of the ranges takes.
func (r Ranges) Size() int {
	size := len("[]")
	for _, number := range r {
		size += len(strconv.Itoa(number)) + len(",")
	}
	return size
}
