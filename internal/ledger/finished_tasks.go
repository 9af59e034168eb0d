package ledger

import "strconv"

// TasksPerChunk is the number of tasks covered by one key of finished tasks. Even the largest
// encoding, with every other task done, stays well below the smallest value limit of the store.
const TasksPerChunk = 1024

// Upper bounds of the JSON size of ranges: per task, reached when every other task is done, and in
// addition to the tasks.
const (
	maxRangeBytesPerTask = 5
	rangesOverheadBytes  = 16
)

// TasksPerPart returns the number of tasks in a part such that its ranges fit into a value of
// valueBytes bytes even in the worst case, with every other task done. It is a power of two.
func TasksPerPart(valueBytes int) int {
	tasks := TasksPerChunk
	for tasks > 1 && tasks*maxRangeBytesPerTask+rangesOverheadBytes > valueBytes {
		tasks /= 2
	}
	return tasks
}

// Ranges lists finished tasks as pairs of the first and the last task of each range, both
// inclusive and relative to the first task of the chunk.
type Ranges []int

// EncodeRanges returns the ranges of finished tasks among the tasks 0 to count-1 of a chunk.
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

// Each calls visit for every task in the ranges. Tasks beyond the chunk are ignored.
func (r Ranges) Each(visit func(task int)) {
	for i := 0; i+1 < len(r); i += 2 {
		first, last := max(r[i], 0), min(r[i+1], TasksPerChunk-1)
		for task := first; task <= last; task++ {
			visit(task)
		}
	}
}

// Size returns an upper bound of the JSON size of ranges that are not empty.
func (r Ranges) Size() int {
	size := len("[]")
	for _, number := range r {
		size += len(strconv.Itoa(number)) + len(",")
	}
	return size
}
