package capability

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"leadproxy/internal/transport"
)

// pollInterval is how often the other controllers' announcements are read.
const pollInterval = 2 * time.Second

// Negotiator announces this controller's level and reads those of the others.
type Negotiator struct {
	controller  string
	level       int
	controllers []string // all, this one included
	store       Store
	log         *slog.Logger
	commonLevel atomic.Int64 // the level that all controllers are known to support
}

// New returns a negotiator for a controller that supports the capabilities up to a level. Run
// starts it. At level 0, the level of versions that make no announcements, it does nothing.
func New(controller string, level int, others []string, store Store, log *slog.Logger) *Negotiator {
	return &Negotiator{
		controller:  controller,
		level:       level,
		controllers: append([]string{controller}, others...),
		store:       store,
		log:         log,
	}
}

// AllSupport reports whether all controllers, this one included, are known to support a capability.
func (n *Negotiator) AllSupport(capability int) bool {
	return int(n.commonLevel.Load()) >= capability
}

// support is the result of comparing the controllers' levels.
type support struct {
	commonLevel int      // all controllers support it; at most this controller's
	outdated    []string // controllers that have not announced this controller's level
}

// Run reads announcements until all controllers support this one's level or ctx ends.
func (n *Negotiator) Run(ctx context.Context) {
	if n.level == 0 {
		return
	}
	logged := "" // the outdated controllers that were logged last
	for ctx.Err() == nil {
		found, err := n.poll(ctx)
		outdated := strings.Join(found.outdated, " ")
		switch {
		case err != nil:
			n.log.Debug("failed to exchange capability announcements", "error", err)
		case len(found.outdated) == 0:
			n.log.Info("all controllers support this version's capabilities", "level", n.level)
			n.commonLevel.Store(int64(n.level))
			return
		case int(n.commonLevel.Load()) < found.commonLevel:
			n.log.Info("all controllers support capabilities", "level", found.commonLevel)
			n.commonLevel.Store(int64(found.commonLevel))
		case logged != outdated:
			n.log.Info("not all controllers are known to have been upgraded", "missing", outdated)
			logged = outdated
		}
		transport.Pause(ctx, pollInterval)
	}
}

// poll reads all announcements, and announces this controller's level if that is missing or lower.
func (n *Negotiator) poll(ctx context.Context) (support, error) {
	found, err := n.readAnnouncements(ctx)
	if err != nil {
		return support{}, err
	}
	if found.levels[n.controller] < n.level {
		written, err := n.announce(ctx, found.ownVersion)
		if err != nil {
			return support{}, err
		}
		if written {
			found.levels[n.controller] = n.level
		}
	}
	return n.computeSupport(found), nil
}

// computeSupport compares the announced levels with this controller's.
func (n *Negotiator) computeSupport(found announcements) support {
	result := support{commonLevel: n.level}
	for _, name := range n.controllers {
		level := found.levels[name]
		result.commonLevel = min(result.commonLevel, level)
		if level < n.level {
			result.outdated = append(result.outdated, name)
		}
	}
	return result
}
