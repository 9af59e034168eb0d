package scheduler

import (
	"strings"
)

// nameTable maps names to dense indices. The zero value is an empty table.
type nameTable struct {
	indexByName map[string]int32
	list        []string
}

// intern returns the index of a name, and adds the name if it is new.
func (n *nameTable) intern(name string) int32 {
	if i, ok := n.indexByName[name]; ok {
		return i
	}
	if n.indexByName == nil {
		n.indexByName = map[string]int32{}
	}
	name = strings.Clone(name) // usually a substring of a message's body, which it would keep in memory
	i := int32(len(n.list))
	n.indexByName[name] = i
	n.list = append(n.list, name)
	return i
}
