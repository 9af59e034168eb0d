package cells

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"google.golang.org/grpc"

	"leadproxy/internal/cells/cellpb"
	"leadproxy/internal/rpc"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
)

// FetchList asks the controllers of a cell for its transfers until one answers that
// leads.
func FetchList(ctx context.Context, n transport.Network, p *settings.Platform) (*cellpb.ListReply, error) {
	var errs []error
	for _, c := range p.Controllers() {
		list, err := fetchFrom(ctx, n, c.Addr)
		if err == nil {
			return list, nil
		}
		errs = append(errs, fmt.Errorf("controller %s: %w", c.Addr, err))
	}
	return nil, errors.Join(errs...)
}

func fetchFrom(ctx context.Context, n transport.Network, addr string) (list *cellpb.ListReply, err error) {
	err = rpc.Call(ctx, n, addr, callLimit, func(ctx context.Context, conn *grpc.ClientConn) error {
		list, err = cellpb.NewCellClient(conn).List(ctx, &cellpb.ListRequest{})
		return err
	})
	return list, err
}

// WriteList writes a cell's transfers as tables.
func WriteList(out io.Writer, l *cellpb.ListReply, now time.Time) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if l.Cell == "" {
		fmt.Fprintln(w, "this cell has no neighbours")
	} else {
		fmt.Fprintf(w, "cell %s\n", l.Cell)
	}
	age := func(ms int64) string { return now.Sub(time.UnixMilli(ms)).Round(time.Second).String() }
	fmt.Fprintf(w, "\nNEIGHBOUR\tSTATE\tAWAY\tCORES\tCREDIT\tLENT\n")
	for _, n := range l.Neighbours {
		fmt.Fprintf(w, "%s\t%s\t%d\t%g\t%g\t%g\n", n.Name, relation(n), n.Jobs, n.Cores, n.Credit, n.Lent)
	}
	fmt.Fprintf(w, "\nAWAY\tCELL\tEPOCH\tSTATE\tAGE\tHEARD\tDONE\tRUNNING\tREPEATABLE\n")
	for _, a := range l.Away {
		state := a.Phase
		if a.Cancelling {
			state += ", cancelling"
		}
		heard := (time.Duration(a.HeardMs) * time.Millisecond).Round(100 * time.Millisecond)
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s ago\t%d\t%d\t%v\n", a.Ref, a.Cell, a.Epoch, state, age(a.SinceMs), heard, a.Done, a.Running, a.Repeatable)
	}
	fmt.Fprintf(w, "\nGUEST\tHOME\tEPOCH\tSTATE\tAGE\tDONE\tRUNNING\n")
	for _, g := range l.Guests {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%d\t%d\n", g.Ref, g.Home, g.Epoch, g.State, age(g.SinceMs), g.Done, g.Running)
	}
	fmt.Fprintf(w, "\nSTEPS IN THIS TERM\tCELL\tDIRECTION\tCOUNT\n")
	slices.SortFunc(l.Counts, func(a, b *cellpb.Count) int {
		return cmp.Or(cmp.Compare(a.Cell, b.Cell), cmp.Compare(direction(a), direction(b)), cmp.Compare(a.Step, b.Step))
	})
	for _, c := range l.Counts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", c.Step, c.Cell, direction(c), c.Count)
	}
	return w.Flush()
}

func relation(n *cellpb.Neighbour) string {
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

func direction(c *cellpb.Count) string {
	if c.Out {
		return "out"
	}
	return "in"
}
