package leadertransfer

import (
	"errors"
	"strings"
	"testing"

	"leadproxy/internal/leadertransfer/handoverpb"
)

// TestChooseSuccessor checks which controller a transfer of the leadership goes to, and when it is
// refused.
func TestChooseSuccessor(t *testing.T) {
	status := func(controller, state string, revision uint64, heardMS int64) *handoverpb.StatusReply {
		return &handoverpb.StatusReply{Node: controller, Follows: true, State: state, Revision: revision, HeardMs: heardMS}
	}
	cases := []struct {
		name     string
		all      []*handoverpb.StatusReply
		to       string
		want     string
		wantText string
	}{
		{"the standby with the newest revision", []*handoverpb.StatusReply{status("n1", "following", 7, 0), status("n2", "following", 9, 0)}, "", "n2", ""},
		{"the requested controller", []*handoverpb.StatusReply{status("n1", "following", 7, 0), status("n2", "following", 9, 0)}, "n1", "n1", ""},
		{"a standby that is catching up is skipped", []*handoverpb.StatusReply{status("n1", "following", 7, 0), status("n2", "catching up", 9, 0)}, "", "n1", ""},
		{"a requested standby that is catching up is refused", []*handoverpb.StatusReply{status("n1", "following", 7, 0), status("n2", "catching up", 9, 0)}, "n2", "", "n2 is catching up"},
		{"a standby without a recent response of the store is refused", []*handoverpb.StatusReply{status("n1", "following", 7, 60000)}, "", "", "for 60 s"},
		{"a controller without a standby is refused", []*handoverpb.StatusReply{{Node: "n1"}}, "", "", "n1 has no standby"},
		{"an unknown controller is refused", []*handoverpb.StatusReply{status("n1", "following", 7, 0)}, "n9", "", `"n9" is not another controller`},
		{"no controller responds", nil, "", "", "no other controller responds"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := chooseSuccessor(c.all, c.to)
			if got != c.want || (err != nil) != (c.want == "") || err != nil && (!errors.Is(err, ErrNoStandby) || !strings.Contains(err.Error(), c.wantText)) {
				t.Errorf("chose %q, error %v, want the controller of the case or an ErrNoStandby with its text", got, err)
			}
		})
	}
}
