package wire

import (
	"encoding/json"
	"testing"
)

// FuzzResponses checks that any response of the key-value store, the cloud, agents and controllers
// is either rejected, or decoded into a message that can be encoded.
func FuzzResponses(f *testing.F) {
	for _, body := range []string{
		`{"epoch":433,"news":[{"set":"c/9","data":{"a":1},"stamp":433},{"delete":"c/d","stamp":432}]}`,
		`{"entries":[{"path":"a","data":null,"stamp":1}],"has_next":true,"epoch":431}`, `{"failed":["a/b"],"epoch":431}`, `{"hold":7}`,
		`{"hosts":[{"ref":"vm-1","address":"10.1.0.2:9000","flavor":"g8","room":"a","status":"running","held_s":61.5}],"has_next":false}`,
		`{"flavors":[{"name":"g8","vcpus":96,"rooms":["a"]}]}`, `{"hosts":["vm-1"]}`, `{"baton":1,"orders":[]}`, `{"boss":"n1"}`, `[`, `{"epoch":-1}`,
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, into := range []any{&WatchResponse{}, &EntryPage{}, &Entry{}, &CompareAndSwapResponse{}, &LeaseResponse{}, &MachineList{}, &MachineNames{}, &MachineTypes{}, &Heartbeat{}, &HeartbeatResponse{}, &Redirect{}, &JobStatus{}} {
			if json.Unmarshal(body, into) != nil {
				continue
			}
			if _, err := json.Marshal(into); err != nil {
				t.Errorf("%T can't be encoded after decoding: %v", into, err)
			}
		}
	})
}
