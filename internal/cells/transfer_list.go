package cells

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"google.golang.org/grpc"

	"leadproxy/internal/cells/cellpb"
	"leadproxy/internal/federation"
	"leadproxy/internal/rpc"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
)

// encodeTransferList converts the transfers of a cell to the reply for operators.
func encodeTransferList(cell string, transfers scheduler.TransferListReply) *cellpb.ListReply {
	reply := &cellpb.ListReply{Cell: cell}
	for _, delegated := range transfers.Delegated {
		reply.Away = append(reply.Away, encodeDelegated(delegated))
	}
	for _, foreign := range transfers.Foreign {
		reply.Guests = append(reply.Guests, encodeForeign(foreign))
	}
	for _, neighbour := range transfers.Cells {
		reply.Neighbours = append(reply.Neighbours, &cellpb.Neighbour{
			Name:   neighbour.Name,
			Drain:  neighbour.Draining,
			Silent: neighbour.Unreachable,
			Jobs:   int32(neighbour.Jobs),
			Cores:  neighbour.Cores,
			Credit: neighbour.Credit,
			Lent:   neighbour.ForeignCores,
		})
	}
	for key, count := range transfers.Counts {
		reply.Counts = append(reply.Counts, &cellpb.Count{Cell: key.Cell, Out: key.Outbound, Step: key.Step, Count: int64(count)})
	}
	return reply
}

func encodeDelegated(view federation.DelegatedView) *cellpb.Away {
	return &cellpb.Away{
		Ref:        view.JobID,
		Cell:       view.Record.Cell,
		Epoch:      view.Record.Epoch,
		Phase:      view.Phase,
		Cancelling: view.Cancelling,
		Repeatable: view.Record.Repeatable,
		SinceMs:    view.Record.SinceMS,
		HeardMs:    view.SinceLastAnswer.Milliseconds(),
		Done:       int32(view.Done),
		Running:    int32(view.Running),
	}
}

func encodeForeign(view scheduler.ForeignView) *cellpb.Guest {
	return &cellpb.Guest{
		Home:    view.Key.Origin,
		Ref:     view.Key.JobID,
		Epoch:   view.Record.Epoch,
		State:   foreignState(view),
		SinceMs: view.Record.SinceMS,
		Done:    int32(view.State.Done),
		Running: int32(view.State.Running),
	}
}

// foreignState returns the state of a foreign job as it is displayed to operators.
func foreignState(view scheduler.ForeignView) string {
	switch {
	case view.State.Ended && view.State.Cancelled:
		return "aborted, not released"
	case view.State.Ended:
		return "done, not released"
	}
	return string(view.Record.State)
}

// FetchTransferList requests the list of a cell's transfers from the leader. The platform settings
// of any of the cell's controllers will do, since they name all of them.
func FetchTransferList(ctx context.Context, network transport.Network, platform *settings.Platform) (*cellpb.ListReply, error) {
	var list *cellpb.ListReply
	err := rpc.CallLeader(ctx, network, platform.Controllers(), callTimeout, func(ctx context.Context, conn *grpc.ClientConn) error {
		reply, err := cellpb.NewCellClient(conn).List(ctx, &cellpb.ListRequest{})
		list = reply
		return err
	})
	if err != nil {
		return nil, err
	}
	return list, nil
}

// WriteTransferList writes a list of transfers as tables. now is the time to which ages refer.
func WriteTransferList(out io.Writer, list *cellpb.ListReply, now time.Time) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if list.Cell == "" {
		fmt.Fprintln(w, "this cell has no neighbours")
	} else {
		fmt.Fprintf(w, "cell %s\n", list.Cell)
	}
	writeNeighbours(w, list.Neighbours)
	writeDelegated(w, list.Away, now)
	writeForeign(w, list.Guests, now)
	writeCounts(w, list.Counts)
	return w.Flush()
}

func writeNeighbours(w io.Writer, neighbours []*cellpb.Neighbour) {
	fmt.Fprintf(w, "\nNEIGHBOUR\tSTATE\tAWAY\tCORES\tCREDIT\tLENT\n")
	for _, n := range neighbours {
		fmt.Fprintf(w, "%s\t%s\t%d\t%g\t%g\t%g\n", n.Name, neighbourState(n), n.Jobs, n.Cores, n.Credit, n.Lent)
	}
}

func writeDelegated(w io.Writer, delegated []*cellpb.Away, now time.Time) {
	fmt.Fprintf(w, "\nAWAY\tCELL\tEPOCH\tSTATE\tAGE\tHEARD\tDONE\tRUNNING\tREPEATABLE\n")
	for _, d := range delegated {
		state := d.Phase
		if d.Cancelling {
			state += ", cancelling"
		}
		sinceAnswer := (time.Duration(d.HeardMs) * time.Millisecond).Round(100 * time.Millisecond)
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s ago\t%d\t%d\t%v\n", d.Ref, d.Cell, d.Epoch, state, age(d.SinceMs, now), sinceAnswer, d.Done, d.Running, d.Repeatable)
	}
}

func writeForeign(w io.Writer, foreign []*cellpb.Guest, now time.Time) {
	fmt.Fprintf(w, "\nGUEST\tHOME\tEPOCH\tSTATE\tAGE\tDONE\tRUNNING\n")
	for _, f := range foreign {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%d\t%d\n", f.Ref, f.Home, f.Epoch, f.State, age(f.SinceMs, now), f.Done, f.Running)
	}
}

// writeCounts writes the numbers of steps. It sorts them, because the leader takes them from a map,
// in random order.
func writeCounts(w io.Writer, counts []*cellpb.Count) {
	slices.SortFunc(counts, func(a, b *cellpb.Count) int {
		return cmp.Or(cmp.Compare(a.Cell, b.Cell), cmp.Compare(direction(a), direction(b)), cmp.Compare(a.Step, b.Step))
	})
	fmt.Fprintf(w, "\nSTEPS IN THIS TERM\tCELL\tDIRECTION\tCOUNT\n")
	for _, c := range counts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", c.Step, c.Cell, direction(c), c.Count)
	}
}

// age returns the time since sinceMS, a wall-clock time in Unix milliseconds.
func age(sinceMS int64, now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(sinceMS)).Round(time.Second)
}

// neighbourState returns the state of a neighbour as it is displayed to operators.
func neighbourState(n *cellpb.Neighbour) string {
	switch {
	case n.Silent && n.Drain:
		return "draining, silent"
	case n.Silent:
		return "silent"
	case n.Drain:
		return "draining"
	}
	return "open"
}

// direction returns "out" if the count is of jobs that this cell delegated, and "in" if it is of
// foreign jobs.
func direction(c *cellpb.Count) string {
	if c.Out {
		return "out"
	}
	return "in"
}
