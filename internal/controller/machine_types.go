package controller

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/jobapi"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

const (
	// typesRefreshInterval is how often the machine types are read again, since the cloud may add
	// new ones.
	typesRefreshInterval = 2 * time.Minute
	// typesRetryInterval is the wait after a failed read.
	typesRetryInterval = time.Second
)

// watchMachineTypes reads the machine types from the cloud and refreshes them until ctx ends. The
// returned function reports false until they have been read once.
func watchMachineTypes(ctx context.Context, cloud *autoscaler.Client, log *slog.Logger) jobapi.MachineTypes {
	var known atomic.Pointer[[]wire.MachineType]
	go func() {
		for ctx.Err() == nil {
			wait := typesRefreshInterval
			types, err := cloud.Types(ctx)
			if err == nil && len(types) > 0 {
				known.Store(&types)
			} else {
				log.Debug("reading the machine types failed", "error", err)
				wait = typesRetryInterval
			}
			transport.Pause(ctx, wait)
		}
	}()
	return func() ([]wire.MachineType, bool) {
		types := known.Load()
		if types == nil {
			return nil, false
		}
		return *types, true
	}
}
