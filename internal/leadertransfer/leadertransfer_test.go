package leadertransfer

import (
	"errors"
	"strings"
	"testing"

	"leadproxy/internal/leadertransfer/handoverpb"
)

// TestChooseSuccessor: which controller a transfer of the leadership goes to.
func TestChooseSuccessor(t *testing.T) {
	status := func(node, state string, revision uint64, heardMS int64) *handoverpb.StatusReply {
		return &handoverpb.StatusReply{Node: node, Follows: true, State: state, Revision: revision, HeardMs: heardMS}
	}
	cases := []struct {
		name     string
		all      []*handoverpb.StatusReply
		to       string
		want     string
		wantText string
	}{
		{"the standby with the newest revision", []*handoverpb.StatusReply{status("n1", "following", 7, 0), status("n2", "following", 9, 0)}, "", "n2", ""},
		{"the requested one", []*handoverpb.StatusReply{status("n1", "following", 7, 0), status("n2", "following", 9, 0)}, "n1", "n1", ""},
		{"one that is catching up is skipped", []*handoverpb.StatusReply{status("n1", "following", 7, 0), status("n2", "catching up", 9, 0)}, "", "n1", ""},
		{"a requested one that is catching up is refused", []*handoverpb.StatusReply{status("n1", "following", 7, 0), status("n2", "catching up", 9, 0)}, "n2", "", "n2 is catching up"},
		{"one whose store responded too long ago is refused", []*handoverpb.StatusReply{status("n1", "following", 7, 60000)}, "", "", "for 60 s"},
		{"one without a standby is refused", []*handoverpb.StatusReply{{Node: "n1"}}, "", "", "n1 has no standby"},
		{"an unknown one is refused", []*handoverpb.StatusReply{status("n1", "following", 7, 0)}, "n9", "", `"n9" is not another controller`},
		{"no controller responds", nil, "", "", "no other controller responds"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := chooseSuccessor(c.all, c.to)
			if got != c.want || (err != nil) != (c.want == "") || err != nil && (!errors.Is(err, ErrNoStandby) || !strings.Contains(err.Error(), c.wantText)) {
				t.Errorf("chose %q, %v", got, err)
			}
		})
	}
}
