package autoscaler

import (
	"testing"

	"lugward/internal/jsonwire/jsonwiretest"
)

// TestUnknownFields checks that fields whose names are similar to those of the cloud's
// responses do not change them (review case 7 shows the fault for submissions).
func TestUnknownFields(t *testing.T) {
	for _, c := range []struct {
		name, body string
		decode     func(body []byte) (any, error)
	}{
		{"machine types", `{"flavors":[{"name":"g8","cores":96,"cards":8,"ram_gb":768,"fetch_gb_per_s":1.0,"price":12.0,"low_price":4.5,"ready_s":45,"yards":["a","b"]}]}`,
			func(body []byte) (any, error) { return decodeMachineTypes(body) }},
		{"machine list", `{"hosts":[{"name_id":"i-1","addr":"10.1.0.1:1","flavor":"g8","yard":"a","loaners":true,"phase":"running","held_s":61.5}],"has_next":true}`,
			func(body []byte) (any, error) { return decodeMachineList(body) }},
		{"provision response", `{"hosts":["i-1"],"error":""}`, func(body []byte) (any, error) { return decodeProvisionResponse(body) }},
	} {
		t.Run(c.name, func(t *testing.T) { jsonwiretest.CheckUnknownFields(t, []byte(c.body), c.decode) })
	}
}
