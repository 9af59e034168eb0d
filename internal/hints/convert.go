package hints

import (
	"time"

	"leadproxy/internal/hints/hintpb"
)

func toMillis(d time.Duration) int64    { return d.Milliseconds() }
func fromMillis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// encode turns a batch into its message.
func encode(b Batch) *hintpb.Batch {
	out := &hintpb.Batch{Term: b.Term, Sequence: b.Sequence}
	for _, m := range b.Machines {
		out.Machines = append(out.Machines, encodeMachine(m))
	}
	if b.Learned != nil {
		out.Learned = encodeLearned(b.Learned)
	}
	return out
}

func encodeMachine(m Machine) *hintpb.Machine {
	out := &hintpb.Machine{Name: m.Name, Gone: m.Gone, Address: m.Address, Session: m.Session, Token: m.Token, HeardMs: toMillis(m.Heard), IdleMs: toMillis(m.Idle)}
	for _, i := range m.Images {
		out.Images = append(out.Images, &hintpb.Image{Name: i.Name, Gb: i.GB})
	}
	for _, k := range m.Bookings {
		out.Bookings = append(out.Bookings, &hintpb.Booking{Task: k.Task, Attempt: k.Attempt, RanMs: toMillis(k.Ran)})
	}
	return out
}

func encodeLearned(l *Learned) *hintpb.Learned {
	out := &hintpb.Learned{RunRatios: l.RunRatios, BootS: l.Boots}
	for _, o := range l.Offers {
		out.Offers = append(out.Offers, &hintpb.Offer{Type: o.Type, Zone: o.Zone, Spot: o.Spot, BlockedMs: toMillis(o.Blocked), BackoffMs: toMillis(o.Backoff), Filled: int64(o.Filled)})
	}
	return out
}

// decode reads a batch; what it says is checked when it is applied.
func decode(b *hintpb.Batch) Batch {
	out := Batch{Term: b.GetTerm(), Sequence: b.GetSequence()}
	for _, m := range b.GetMachines() {
		out.Machines = append(out.Machines, decodeMachine(m))
	}
	if b.GetLearned() != nil {
		out.Learned = decodeLearned(b.GetLearned())
	}
	return out
}

func decodeMachine(m *hintpb.Machine) Machine {
	out := Machine{Name: m.GetName(), Gone: m.GetGone(), Address: m.GetAddress(), Session: m.GetSession(), Token: m.GetToken(),
		Heard: fromMillis(m.GetHeardMs()), Idle: fromMillis(m.GetIdleMs())}
	for _, i := range m.GetImages() {
		out.Images = append(out.Images, Image{Name: i.GetName(), GB: i.GetGb()})
	}
	for _, k := range m.GetBookings() {
		out.Bookings = append(out.Bookings, Booking{Task: k.GetTask(), Attempt: k.GetAttempt(), Ran: fromMillis(k.GetRanMs())})
	}
	return out
}

func decodeLearned(l *hintpb.Learned) *Learned {
	out := &Learned{RunRatios: l.GetRunRatios(), Boots: l.GetBootS()}
	for _, o := range l.GetOffers() {
		out.Offers = append(out.Offers, Offer{Type: o.GetType(), Zone: o.GetZone(), Spot: o.GetSpot(),
			Blocked: fromMillis(o.GetBlockedMs()), Backoff: fromMillis(o.GetBackoffMs()), Filled: int(o.GetFilled())})
	}
	return out
}
