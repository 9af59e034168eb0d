package scheduler

import (
	"strings"
)

// nameTable maps names to dense indices.
type nameTable struct {
	indexByName map[string]int32
	list        []string
}

func (n *nameTable) intern(name string) int32 {
	if i, ok := n.indexByName[name]; ok {
		return i
	}
	if n.indexByName == nil {
		n.indexByName = map[string]int32{}
	}
	name = strings.Clone(name) // mostly a part of a message's body
	i := int32(len(n.list))
	n.indexByName[name] = i
	n.list = append(n.list, name)
	return i
}
