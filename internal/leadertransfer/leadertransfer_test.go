package leadertransfer

import (
	"errors"
	"strings"
	"testing"

	"leadproxy/internal/leadertransfer/handoverpb"
)

// TestChoose: who takes over on purpose.
func TestChoose(t *testing.T) {
	st := func(node, state string, revision uint64, heardMS int64) *handoverpb.StatusReply {
		return &handoverpb.StatusReply{Node: node, Follows: true, State: state, Revision: revision, HeardMs: heardMS}
	}
	cases := []struct {
		name string
		all  []*handoverpb.StatusReply
		to   string
		want string
		says string
	}{
		{"the newest copy", []*handoverpb.StatusReply{st("n1", "following", 7, 0), st("n2", "following", 9, 0)}, "", "n2", ""},
		{"the one that is named", []*handoverpb.StatusReply{st("n1", "following", 7, 0), st("n2", "following", 9, 0)}, "n1", "n1", ""},
		{"one that is catching up is passed over", []*handoverpb.StatusReply{st("n1", "following", 7, 0), st("n2", "catching up", 9, 0)}, "", "n1", ""},
		{"not to one that is catching up", []*handoverpb.StatusReply{st("n1", "following", 7, 0), st("n2", "catching up", 9, 0)}, "n2", "", "n2 is catching up"},
		{"not to one that is behind", []*handoverpb.StatusReply{st("n1", "following", 7, 60000)}, "", "", "for 60 s"},
		{"not to one that does not follow", []*handoverpb.StatusReply{{Node: "n1"}}, "", "", "n1 does not follow"},
		{"not to a stranger", []*handoverpb.StatusReply{st("n1", "following", 7, 0)}, "n9", "", `"n9" is not another controller`},
		{"nobody answers", nil, "", "", "no other controller answers"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := choose(c.all, c.to)
			if got != c.want || (err != nil) != (c.want == "") || err != nil && (!errors.Is(err, ErrNoStandby) || !strings.Contains(err.Error(), c.says)) {
				t.Errorf("chose %q, %v", got, err)
			}
		})
	}
}
