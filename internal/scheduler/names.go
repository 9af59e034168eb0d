package scheduler

import (
	"strings"
)

// names maps names to dense indices.
type names struct {
	index map[string]int32
	list  []string
}

func (n *names) of(name string) int32 {
	if i, ok := n.index[name]; ok {
		return i
	}
	if n.index == nil {
		n.index = map[string]int32{}
	}
	name = strings.Clone(name) // mostly a part of a message's body
	i := int32(len(n.list))
	n.index[name] = i
	n.list = append(n.list, name)
	return i
}
