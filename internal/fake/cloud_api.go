package fake

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

func (c *Cloud) handleScaleOut(w http.ResponseWriter, r *http.Request) {
	var request wire.ScaleOutRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: err.Error()})
		return
	}
	typeIndex := slices.IndexFunc(c.config.Types, func(t wire.MachineType) bool { return t.Name == request.Type })
	if typeIndex < 0 || request.Count < 1 || request.Count > 50 {
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: "no such type, or a wrong number"})
		return
	}
	var names []string
	c.do(func() { names = c.scaleOut(request, c.config.Types[typeIndex]) })
	if len(names) == 0 {
		writeJSON(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "no capacity"})
		return
	}
	writeJSON(w, http.StatusOK, wire.MachineNames{Names: names})
}

// scaleOut starts as many of the requested machines as MaxMachines permits and returns their names.
// It is idempotent: a repeated request returns the machines of the first one.
func (c *Cloud) scaleOut(request wire.ScaleOutRequest, machineType wire.MachineType) (names []string) {
	if names, ok := c.scaleOuts[request.RequestID]; ok {
		return names
	}
	for range request.Count {
		if c.config.MaxMachines > 0 && len(c.machines) >= c.config.MaxMachines {
			break
		}
		names = append(names, c.startMachine(request, machineType))
	}
	if len(names) > 0 {
		c.scaleOuts[request.RequestID] = names
	}
	return names
}

// startMachine adds a machine and returns its name. The machine's agent starts after BootTime.
func (c *Cloud) startMachine(request wire.ScaleOutRequest, machineType wire.MachineType) string {
	name := fmt.Sprintf("%s%06d", cmp.Or(c.config.NamePrefix, "vm-"), c.machinesCreated)
	c.machinesCreated++
	network, addr := c.config.NewHost(name)
	m := &cloudMachine{
		createdAt: time.Now(),
		listed:    wire.ListedMachine{Name: name, Address: addr, CapacityPool: request.CapacityPool, Status: wire.MachineBooting},
	}
	c.machines[name] = m
	ctx := c.t.Context()
	go func() {
		transport.Pause(ctx, c.config.BootTime)
		c.do(func() {
			if m.deleted || ctx.Err() != nil {
				return
			}
			m.agent = newAgent(c.t, network, addr, agentMachine{name: name, request: request, size: machineType}, c.config.Agent)
			m.listed.Address, m.listed.Status = m.agent.Addr(), wire.MachineRunning
		})
	}()
	return name
}

func (c *Cloud) handleDelete(w http.ResponseWriter, r *http.Request) {
	var request wire.MachineNames
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: err.Error()})
		return
	}
	c.Terminate(request.Names...)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (c *Cloud) handleList(w http.ResponseWriter, _ *http.Request) {
	list := wire.MachineList{Machines: []wire.ListedMachine{}}
	c.do(func() {
		for _, m := range c.machines {
			if time.Since(m.createdAt) < c.config.ListLag {
				continue
			}
			listed := m.listed
			listed.AgeS = time.Since(m.createdAt).Seconds()
			list.Machines = append(list.Machines, listed)
		}
	})
	slices.SortFunc(list.Machines, func(a, b wire.ListedMachine) int { return strings.Compare(a.Name, b.Name) })
	writeJSON(w, http.StatusOK, list)
}
